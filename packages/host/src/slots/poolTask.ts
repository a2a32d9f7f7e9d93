import { Pool } from '@buckthornlug/core/pools/pool.js';
import type {
  PoolEffect,
  PoolRules,
  QueuedCall,
  RefusalReason,
  RunningCall,
} from '@buckthornlug/core/pools/poolTypes.js';
import { ejectOutlier } from '@buckthornlug/core/slots/ejections.js';
import type { BackendSlots } from '@buckthornlug/core/slots/backendSlots.js';
import { defaultOutlierLimits } from '@buckthornlug/core/slots/outliers.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  CallOutcome,
  AdmissionForecast,
  PendingCall,
  Placement,
} from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';
import { CreditQueue } from './creditQueue.js';
import type { CallReach, KnownBackend, WaitingCall } from './slotsTypes.js';

/** Time in which a backend server learns that a call is cancelled and its slot free. */
const cancelSettleMs = 100;
/** Longest time for which a slot waits for a sign of life of its backend server. */
const longestSettleMs = 1000;
const settleCheckMs = 20;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;

/** Turns the reason of a refusal into the failure that the caller hears. */
function refusalOf(reason: RefusalReason, expectedWaitMs: number): Failure {
  const wait = Number.isFinite(expectedWaitMs) ? expectedWaitMs : minRetryAfterMs;
  const retryAfterMs = Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, wait)));
  if (reason === 'deadlinePassed') return failure('BL3004', 'the call waited too long');
  if (reason === 'noSlots') return failure('BL3003', 'no slot is held here', { retryAfterMs });
  const detail = `${reason}, expected wait ${retryAfterMs} ms`;
  return failure('BL3002', detail, { retryAfterMs });
}

/** The pool of one service in the zone of this host: owns its queue and its backend servers. */
export class PoolTask {
  /** Calls that can only be answered by other zones. */
  readonly creditQueue = new CreditQueue();

  /** Decisions of the pool. */
  readonly pool: Pool<WaitingCall>;

  private readonly labels;

  private readonly backends = new Map<string, KnownBackend>();

  /** Calls of each rank that were foreseen and have not asked for their place yet. */
  private readonly announcedByRank: number[] = [];

  /**
   * @param service - service of the pool
   * @param context - context of the host
   * @param rules - rules of the pool
   */
  constructor(
    readonly service: string,
    private readonly context: HostContext,
    rules: PoolRules,
  ) {
    this.pool = new Pool(rules, context.clock.nowMs());
    this.labels = { service };
  }

  /** Backend servers that announced themselves here. */
  get known(): Iterable<KnownBackend> {
    return this.backends.values();
  }

  /** Finds a backend server. */
  find(backendId: string): KnownBackend | undefined {
    return this.backends.get(backendId);
  }

  /** Adds a backend server. */
  add(backend: KnownBackend): void {
    this.backends.set(backend.slots.backendId, backend);
    this.pool.add(backend.slots);
  }

  /** Removes a backend server. */
  remove(backendId: string): void {
    this.backends.delete(backendId);
    this.pool.remove(backendId);
  }

  /** Whether the host may use slots of the pool now. */
  holdsSlots(): boolean {
    return this.pool.usableSlots(this.context.clock.nowMs()) > 0;
  }

  /** Whether calls wait, so that time matters. */
  get isBusy(): boolean {
    return this.pool.waitingCalls > 0 || this.creditQueue.size > 0;
  }

  /**
   * Finds a place for a call.
   *
   * @param pending - the call
   * @param reach - where it may run
   * @param creditWaitMs - time that the call may wait for a credit; 0 where none can be had
   * @param tryCredit - spends a credit at hand, where there is one
   */
  place(
    pending: PendingCall,
    reach: CallReach,
    creditWaitMs: number,
    tryCredit: (call: WaitingCall) => boolean,
  ): Promise<Placement> {
    return this.wait(pending, reach, (call) => {
      const nowMs = this.context.clock.nowMs();
      if (reach === 'otherZones' || reach === 'otherRegions') {
        this.waitForCredit(call, creditWaitMs, refusalOf('noSlots', creditWaitMs), tryCredit);
        return undefined;
      }
      const offer = this.pool.offer(call, nowMs);
      if (offer.offer === 'queued') {
        this.pump();
        return offer.entry;
      }
      const refusal = refusalOf(offer.reason, offer.expectedWaitMs);
      const mayLeave = reach === 'anywhere' && offer.reason !== 'deadlinePassed';
      if (mayLeave) this.waitForCredit(call, creditWaitMs, refusal, tryCredit);
      else call.resolve({ place: 'refused', failure: refusal });
      return undefined;
    });
  }

  /**
   * Waits for a credit for a call that has not asked for its place yet and gets no slot at home.
   *
   * @param pending - the call
   * @param reach - where it may run
   * @param creditWaitMs - time that it may wait; 0 where no credit can be had
   * @param refusal - why it gets no slot at home; absent where it may not run there
   * @param tryCredit - spends a credit at hand, where there is one
   */
  awaitCredit(
    pending: PendingCall,
    reach: CallReach,
    creditWaitMs: number,
    refusal: Failure | undefined,
    tryCredit: (call: WaitingCall) => boolean,
  ): Promise<Placement> {
    return this.wait(pending, reach, (call) => {
      const problem = refusal ?? refusalOf('noSlots', creditWaitMs);
      this.waitForCredit(call, creditWaitMs, problem, tryCredit);
      return undefined;
    });
  }

  /**
   * Foresees the refusal of a call that has not asked for its place, and counts the call as one that
   * will come.
   *
   * @param pending - the call
   */
  foresee(pending: PendingCall): AdmissionForecast {
    const { rank } = pending;
    const nowMs = this.context.clock.nowMs();
    let aheadCalls = 0;
    for (let index = 0; index <= rank; index += 1) aheadCalls += this.announcedByRank[index] ?? 0;
    const { reason, expectedWaitMs } = this.pool.forecastAdmission(pending, aheadCalls, nowMs);
    if (reason !== undefined) {
      return { failure: refusalOf(reason, expectedWaitMs), end: () => undefined };
    }
    const count = (by: 1 | -1) => {
      this.announcedByRank[rank] = (this.announcedByRank[rank] ?? 0) + by;
    };
    count(1);
    return { end: () => count(-1) };
  }

  /** Gives free slots to waiting calls. */
  pump(): void {
    const nowMs = this.context.clock.nowMs();
    this.creditQueue.expire(nowMs);
    for (const effect of this.pool.dispatchWaiting(nowMs)) this.carryOut(effect);
  }

  /** Takes the call that should use a credit of its rank. */
  takeForCredit(rank: number, mayGo: (call: WaitingCall) => boolean): WaitingCall | undefined {
    const withoutSlot = this.creditQueue.take(rank, mayGo);
    if (withoutSlot !== undefined) return withoutSlot;
    return this.pool.takeWaiting(rank, (call) => call.reach === 'anywhere' && mayGo(call));
  }

  /** State of the pool, for `status`. */
  describe() {
    const nowMs = this.context.clock.nowMs();
    return {
      service: this.service,
      slots: this.pool.usableSlots(nowMs),
      freeSlots: this.pool.freeSlots(nowMs),
      waitingCalls: this.pool.waitingCalls,
      backends: [...this.backends.values()].map(({ slots, announcement }) => ({
        backendId: slots.backendId,
        endpoint: announcement.endpoint,
        state: announcement.state,
        standing: slots.standing(nowMs),
        announcedSlots: announcement.slots,
        usableSlots: slots.usableSlots(nowMs),
        inFlight: slots.inFlight,
      })),
    };
  }

  private wait(
    pending: PendingCall,
    reach: CallReach,
    enter: (call: WaitingCall) => QueuedCall<WaitingCall> | undefined,
  ) {
    return new Promise<Placement>((settle) => {
      let entry: QueuedCall<WaitingCall> | undefined;
      let call: WaitingCall | undefined;
      let isSettled = false;
      const onAbort = () => {
        if (entry !== undefined) this.pool.cancel(entry);
        if (call === undefined) return;
        this.creditQueue.remove(call);
        call.resolve({ place: 'refused', failure: failure('BL3017', 'the caller hung up') });
      };
      const isRepeated = pending.attempt > 0;
      call = {
        requestId: pending.requestId,
        kind: pending.kind,
        rank: pending.rank,
        targetAtMs: isRepeated ? pending.deadlineAtMs : pending.targetAtMs,
        deadlineAtMs: pending.deadlineAtMs,
        excluded: pending.excluded,
        pending,
        reach,
        isSettled: () => isSettled,
        resolve: (placement) => {
          isSettled = true;
          pending.signal.removeEventListener('abort', onAbort);
          settle(placement);
        },
      };
      pending.signal.addEventListener('abort', onAbort);
      entry = enter(call);
    });
  }

  private waitForCredit(
    call: WaitingCall,
    creditWaitMs: number,
    refusal: Failure,
    tryCredit: (call: WaitingCall) => boolean,
  ): void {
    if (tryCredit(call)) return;
    const untilMs = Math.min(call.deadlineAtMs, this.context.clock.nowMs() + creditWaitMs);
    if (creditWaitMs > 0 && this.creditQueue.add(call, untilMs, refusal)) return;
    call.resolve({ place: 'refused', failure: refusal });
  }

  private carryOut(effect: PoolEffect<WaitingCall, BackendSlots>): void {
    const { call } = effect;
    if (effect.effect === 'refuse') {
      call.resolve({ place: 'refused', failure: refusalOf(effect.reason, effect.expectedWaitMs) });
      return;
    }
    const backend = this.backends.get(effect.backend.backendId);
    let isReleased = false;
    const release = (outcome: CallOutcome) => {
      if (isReleased) return;
      isReleased = true;
      const giveBack = () => this.release(effect.backend, effect.running, outcome);
      if (outcome.result === 'answered' && backend !== undefined) {
        backend.lastAnswerAtMs = this.context.clock.nowMs();
      }
      if (outcome.isAbortedAfterSend === true && backend !== undefined)
        this.settle(backend, giveBack);
      else giveBack();
    };
    if (call.isSettled()) {
      release({ result: 'cancelled', elapsedMs: 0 });
      return;
    }
    if (backend === undefined) {
      release({ result: 'notRun', elapsedMs: 0 });
      call.resolve({ place: 'refused', failure: refusalOf('noSlots', 0) });
      return;
    }
    const { backendId, endpoint } = backend.announcement;
    const { lease } = effect.backend;
    const mayStart = () => lease.isHeld(this.context.clock.nowMs());
    call.resolve({ place: 'backend', backendId, endpoint, mayStart, release });
  }

  /**
   * Gives a slot back when its backend server has had time to learn that the call was broken off, and
   * was heard of since: one that stalls learns nothing.
   */
  private settle(backend: KnownBackend, giveBack: () => void): void {
    const { clock } = this.context;
    const brokenOffAtMs = clock.nowMs();
    const check = () => {
      const heardAtMs = Math.max(backend.lastSeenAtMs, backend.lastAnswerAtMs);
      const isSettled =
        heardAtMs > brokenOffAtMs || clock.nowMs() - brokenOffAtMs > longestSettleMs;
      if (isSettled) giveBack();
      else setTimeout(check, settleCheckMs);
    };
    setTimeout(check, cancelSettleMs);
  }

  private release(backend: BackendSlots, running: RunningCall, outcome: CallOutcome): void {
    const nowMs = this.context.clock.nowMs();
    const before = backend.standing(nowMs);
    this.pool.release(backend, running, outcome, nowMs);
    this.context.metrics.observeMs('slot_ms', outcome.elapsedMs, this.labels);
    const isEjected = ejectOutlier(this.pool.backends, backend, defaultOutlierLimits, nowMs);
    if (isEjected) this.recordBackend('backendEjected', backend.backendId);
    if (before === 'probation' && backend.standing(nowMs) === 'in') {
      this.recordBackend('backendReadmitted', backend.backendId);
    }
    this.pump();
  }

  private recordBackend(kind: 'backendEjected' | 'backendReadmitted', backendId: string): void {
    this.context.record({ kind, service: this.service, detail: { backendId } });
    this.context.log.info(kind, { service: this.service, backendId });
  }
}
