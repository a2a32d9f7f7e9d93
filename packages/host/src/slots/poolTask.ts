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

/** Time until a backend server notices that a call was aborted. */
const abortPropagationMs = 100;
/** Longest time until the slot of an aborted call is released. */
const maxReleaseDelayMs = 1000;
const releaseCheckIntervalMs = 20;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;

/** Creates the failure that the caller gets for a refusal. */
function createRefusal(reason: RefusalReason, expectedWaitMs: number): Failure {
  const waitMs = Number.isFinite(expectedWaitMs) ? expectedWaitMs : minRetryAfterMs;
  const retryAfterMs = Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
  if (reason === 'deadlinePassed')
    return failure('BL3004', 'the deadline passed while the call waited');
  if (reason === 'noSlots') return failure('BL3003', 'this host holds no slots', { retryAfterMs });
  const detail = `${reason}, expected wait ${retryAfterMs} ms`;
  return failure('BL3002', detail, { retryAfterMs });
}

/** Pool of one service in the zone of this host, with its queues and its backend servers. */
export class PoolTask {
  /** Calls that only another zone can answer. */
  readonly creditQueue = new CreditQueue();

  /** Queue and decisions of the pool. */
  readonly pool: Pool<WaitingCall>;

  private readonly labels;

  private readonly backends = new Map<string, KnownBackend>();

  /** Forecast calls of each rank whose placement has not been requested yet. */
  private readonly expectedCallsByRank: number[] = [];

  /**
   * @param service - service of the pool
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
  get knownBackends(): Iterable<KnownBackend> {
    return this.backends.values();
  }

  find(backendId: string): KnownBackend | undefined {
    return this.backends.get(backendId);
  }

  add(backend: KnownBackend): void {
    this.backends.set(backend.slots.backendId, backend);
    this.pool.add(backend.slots);
  }

  remove(backendId: string): void {
    this.backends.delete(backendId);
    this.pool.remove(backendId);
  }

  /** Whether this host may use slots of the pool now. */
  hasUsableSlots(): boolean {
    return this.pool.usableSlots(this.context.clock.nowMs()) > 0;
  }

  /** Whether calls wait for a slot or a credit, so that the pool needs ticks. */
  get hasWaitingCalls(): boolean {
    return this.pool.waitingCalls > 0 || this.creditQueue.size > 0;
  }

  /**
   * Places a call: on a slot of the pool, or with a credit of another zone.
   *
   * @param creditWaitMs - longest wait for a credit; 0 if no credit can be expected
   * @param trySendWithCredit - sends the call with a held credit, if there is one
   */
  place(
    pending: PendingCall,
    reach: CallReach,
    creditWaitMs: number,
    trySendWithCredit: (call: WaitingCall) => boolean,
  ): Promise<Placement> {
    return this.awaitPlacement(pending, reach, (call) => {
      const nowMs = this.context.clock.nowMs();
      if (reach === 'otherZones' || reach === 'otherRegions') {
        this.queueForCredit(
          call,
          creditWaitMs,
          createRefusal('noSlots', creditWaitMs),
          trySendWithCredit,
        );
        return undefined;
      }
      const offer = this.pool.offer(call, nowMs);
      if (offer.offer === 'queued') {
        this.dispatchWaiting();
        return offer.entry;
      }
      const refusal = createRefusal(offer.reason, offer.expectedWaitMs);
      const mayUseCredit = reach === 'anywhere' && offer.reason !== 'deadlinePassed';
      if (mayUseCredit) this.queueForCredit(call, creditWaitMs, refusal, trySendWithCredit);
      else call.resolve({ place: 'refused', failure: refusal });
      return undefined;
    });
  }

  /**
   * Waits for a credit for a call that gets no slot of the pool, before its placement is requested.
   *
   * @param creditWaitMs - longest wait; 0 if no credit can be expected
   * @param refusal - why the call gets no slot of the pool; undefined if it must run elsewhere
   * @param trySendWithCredit - sends the call with a held credit, if there is one
   */
  awaitCredit(
    pending: PendingCall,
    reach: CallReach,
    creditWaitMs: number,
    refusal: Failure | undefined,
    trySendWithCredit: (call: WaitingCall) => boolean,
  ): Promise<Placement> {
    return this.awaitPlacement(pending, reach, (call) => {
      const creditRefusal = refusal ?? createRefusal('noSlots', creditWaitMs);
      this.queueForCredit(call, creditWaitMs, creditRefusal, trySendWithCredit);
      return undefined;
    });
  }

  /**
   * Predicts whether a call would be refused, before its placement is requested. An admitted call
   * counts as expected until `end` of its forecast.
   */
  forecastAdmission(pending: PendingCall): AdmissionForecast {
    const { rank } = pending;
    const nowMs = this.context.clock.nowMs();
    let callsAhead = 0;
    for (let index = 0; index <= rank; index += 1)
      callsAhead += this.expectedCallsByRank[index] ?? 0;
    const { reason, expectedWaitMs } = this.pool.forecastAdmission(pending, callsAhead, nowMs);
    if (reason !== undefined) {
      return { failure: createRefusal(reason, expectedWaitMs), end: () => undefined };
    }
    const adjustExpectedCalls = (by: 1 | -1) => {
      this.expectedCallsByRank[rank] = (this.expectedCallsByRank[rank] ?? 0) + by;
    };
    adjustExpectedCalls(1);
    return { end: () => adjustExpectedCalls(-1) };
  }

  /** Assigns free slots to waiting calls and refuses those that waited too long. */
  dispatchWaiting(): void {
    const nowMs = this.context.clock.nowMs();
    this.creditQueue.expire(nowMs);
    for (const effect of this.pool.dispatchWaiting(nowMs)) this.applyEffect(effect);
  }

  /** Removes and returns the waiting call that should use a credit of its rank. */
  takeCallForCredit(
    rank: number,
    isEligible: (call: WaitingCall) => boolean,
  ): WaitingCall | undefined {
    const callAwaitingCredit = this.creditQueue.take(rank, isEligible);
    if (callAwaitingCredit !== undefined) return callAwaitingCredit;
    return this.pool.takeWaiting(rank, (call) => call.reach === 'anywhere' && isEligible(call));
  }

  /** Describes the state of the pool for `status`. */
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

  private awaitPlacement(
    pending: PendingCall,
    reach: CallReach,
    enqueue: (call: WaitingCall) => QueuedCall<WaitingCall> | undefined,
  ) {
    return new Promise<Placement>((resolvePlacement) => {
      let entry: QueuedCall<WaitingCall> | undefined;
      let call: WaitingCall | undefined;
      let isSettled = false;
      const onAbort = () => {
        if (entry !== undefined) this.pool.cancel(entry);
        if (call === undefined) return;
        this.creditQueue.remove(call);
        call.resolve({ place: 'refused', failure: failure('BL3017', 'the caller hung up') });
      };
      const isRepeatedDispatch = pending.attempt > 0;
      call = {
        requestId: pending.requestId,
        kind: pending.kind,
        rank: pending.rank,
        targetAtMs: isRepeatedDispatch ? pending.deadlineAtMs : pending.targetAtMs,
        deadlineAtMs: pending.deadlineAtMs,
        excluded: pending.excluded,
        pending,
        reach,
        isSettled: () => isSettled,
        resolve: (placement) => {
          isSettled = true;
          pending.signal.removeEventListener('abort', onAbort);
          resolvePlacement(placement);
        },
      };
      pending.signal.addEventListener('abort', onAbort);
      entry = enqueue(call);
    });
  }

  private queueForCredit(
    call: WaitingCall,
    creditWaitMs: number,
    refusal: Failure,
    trySendWithCredit: (call: WaitingCall) => boolean,
  ): void {
    if (trySendWithCredit(call)) return;
    const waitUntilMs = Math.min(call.deadlineAtMs, this.context.clock.nowMs() + creditWaitMs);
    if (creditWaitMs > 0 && this.creditQueue.add(call, waitUntilMs, refusal)) return;
    call.resolve({ place: 'refused', failure: refusal });
  }

  private applyEffect(effect: PoolEffect<WaitingCall, BackendSlots>): void {
    const { call } = effect;
    if (effect.effect === 'refuse') {
      call.resolve({
        place: 'refused',
        failure: createRefusal(effect.reason, effect.expectedWaitMs),
      });
      return;
    }
    const backend = this.backends.get(effect.backend.backendId);
    let isReleased = false;
    const release = (outcome: CallOutcome) => {
      if (isReleased) return;
      isReleased = true;
      const releaseSlot = () => this.release(effect.backend, effect.running, outcome);
      if (outcome.result === 'answered' && backend !== undefined) {
        backend.lastAnswerAtMs = this.context.clock.nowMs();
      }
      if (outcome.isAbortedAfterSend === true && backend !== undefined)
        this.releaseAfterAbort(backend, releaseSlot);
      else releaseSlot();
    };
    if (call.isSettled()) {
      release({ result: 'cancelled', elapsedMs: 0 });
      return;
    }
    if (backend === undefined) {
      release({ result: 'notRun', elapsedMs: 0 });
      call.resolve({ place: 'refused', failure: createRefusal('noSlots', 0) });
      return;
    }
    const { backendId, endpoint } = backend.announcement;
    const { lease } = effect.backend;
    const mayStart = () => lease.isHeld(this.context.clock.nowMs());
    call.resolve({ place: 'backend', backendId, endpoint, mayStart, release });
  }

  /**
   * Releases the slot of an aborted call once its backend server has had time to notice the abort
   * and has been heard from since: a stalled backend server does not notice the abort.
   */
  private releaseAfterAbort(backend: KnownBackend, releaseSlot: () => void): void {
    const { clock } = this.context;
    const abortedAtMs = clock.nowMs();
    const check = () => {
      const lastHeardAtMs = Math.max(backend.lastAnnouncedAtMs, backend.lastAnswerAtMs);
      const mayRelease =
        lastHeardAtMs > abortedAtMs || clock.nowMs() - abortedAtMs > maxReleaseDelayMs;
      if (mayRelease) releaseSlot();
      else setTimeout(check, releaseCheckIntervalMs);
    };
    setTimeout(check, abortPropagationMs);
  }

  private release(backend: BackendSlots, running: RunningCall, outcome: CallOutcome): void {
    const nowMs = this.context.clock.nowMs();
    const previousStanding = backend.standing(nowMs);
    this.pool.release(backend, running, outcome, nowMs);
    this.context.metrics.observeMs('slot_ms', outcome.elapsedMs, this.labels);
    const isEjected = ejectOutlier(this.pool.backends, backend, defaultOutlierLimits, nowMs);
    if (isEjected) this.recordBackendEvent('backendEjected', backend.backendId);
    if (previousStanding === 'probation' && backend.standing(nowMs) === 'in') {
      this.recordBackendEvent('backendReadmitted', backend.backendId);
    }
    this.dispatchWaiting();
  }

  private recordBackendEvent(
    kind: 'backendEjected' | 'backendReadmitted',
    backendId: string,
  ): void {
    this.context.record({ kind, service: this.service, detail: { backendId } });
    this.context.log.info(kind, { service: this.service, backendId });
  }
}
