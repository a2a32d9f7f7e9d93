import type { CallOutcome } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { BackendSlots } from '../slots/backendSlots.js';
import { PoolQueue } from './poolQueue.js';
import type {
  PoolAdmissionForecast,
  OfferResult,
  PoolCall,
  PoolEffect,
  PoolRules,
  QueuedCall,
  RefusalReason,
  RunningCall,
} from './poolTypes.js';
import { ServiceTimes } from './serviceTimes.js';

/** Standard deviations above the mean of the logarithm up to which a service time is usual. */
const usualDeviations = 2.3;
/** Share of the time left until its target that a call may always wait. */
const minWaitShare = 0.3;
/** Largest share of the time left until its target that a call may be expected to wait. */
const maxWaitShare = 0.85;
/** Share of the slots that hedges leave free while the target of their call is not at risk. */
const hedgeReserveShare = 0.1;

/** The pool of one service in one availability zone: its backend servers and their common queue. */
export class Pool<Call extends PoolCall> {
  /** Learned service times. */
  readonly serviceTimes: ServiceTimes;

  private queue: PoolQueue<Call>;

  private members: BackendSlots[] = [];

  private readonly runningByRank: number[];

  private roundRobinOffset = 0;

  /** @param rules - rules of the pool */
  constructor(
    private rules: PoolRules,
    nowMs: number,
  ) {
    this.serviceTimes = new ServiceTimes(rules.serviceTimeMs);
    this.queue = new PoolQueue<Call>(rules, nowMs);
    this.runningByRank = rules.ranks.map(() => 0);
  }

  /** Backend servers of the pool. */
  get backends(): readonly BackendSlots[] {
    return this.members;
  }

  /** Adds a backend server. */
  add(backend: BackendSlots): void {
    this.members = [...this.members, backend];
  }

  /** Removes a backend server; its running calls continue. */
  remove(backendId: string): void {
    this.members = this.members.filter((member) => member.backendId !== backendId);
  }

  /**
   * Applies new rules. Waiting calls keep their place in the queue; a call whose rank no longer
   * exists moves to the least urgent rank.
   */
  reconfigure(rules: PoolRules, nowMs: number): void {
    const old = this.queue;
    this.rules = rules;
    this.queue = new PoolQueue<Call>(rules, nowMs);
    const lowestRank = rules.ranks.length - 1;
    for (let entry = old.shiftMostUrgent(); entry !== undefined; entry = old.shiftMostUrgent()) {
      const rank = Math.min(entry.call.rank, lowestRank);
      this.queue.push(
        rank === entry.call.rank ? entry : { ...entry, call: { ...entry.call, rank } },
      );
    }
  }

  /** Slots that may be used now. */
  usableSlots(nowMs: number): number {
    let slots = 0;
    for (const member of this.members) slots += member.usableSlots(nowMs);
    return slots;
  }

  /** Slots that are free now. */
  freeSlots(nowMs: number): number {
    let slots = 0;
    for (const member of this.members) slots += member.freeSlots(nowMs);
    return slots;
  }

  /** Number of waiting calls. */
  get waitingCalls(): number {
    return this.queue.waitingCalls;
  }

  /** Number of waiting calls of a rank. */
  waitingCallsOf(rank: number): number {
    return this.queue.waitingCallsOf(rank);
  }

  /**
   * Slots that a rank and the more urgent ranks need: the slots they used recently, or their
   * running and waiting calls if these are more.
   *
   * @param rank - index of the rank
   */
  neededSlotsUpTo(rank: number, nowMs: number): number {
    let recentSlots = 0;
    let currentSlots = 0;
    for (const [index, load] of this.queue.loads(nowMs).entries()) {
      if (index > rank) break;
      recentSlots += load.busySlots;
      currentSlots += (this.runningByRank[index] ?? 0) + this.queue.waitingCallsOf(index);
    }
    return Math.max(recentSlots, currentSlots);
  }

  /**
   * Estimates how long a new call waits for a slot; infinity if no slot is expected.
   *
   * @param rank - index of the call's rank
   */
  expectedWaitMs(rank: number, nowMs: number): number {
    if (this.queue.waitingCalls === 0 && this.freeSlots(nowMs) > 0) return 0;
    const slots = this.usableSlots(nowMs);
    if (slots === 0) return this.expectedLeaseWaitMs(nowMs);
    return this.queue.expectedWaitMs(rank, slots, this.serviceTimes.overallMeanMs, nowMs);
  }

  /** Whether a call that is expected to wait this long can still be answered within its target. */
  canMeetTarget(call: PoolCall, waitMs: number, nowMs: number): boolean {
    return waitMs === 0 || waitMs <= this.maxWaitMs(call.kind, call.targetAtMs - nowMs);
  }

  /**
   * Longest wait for a slot with which a call is usually answered within its target.
   *
   * @param kind - kind of work
   * @param leftMs - time left until the target
   */
  maxWaitMs(kind: string, leftMs: number): number {
    const serviceTimeMs = this.serviceTimes.quantileMs(kind, usualDeviations);
    return Math.max(Math.min(leftMs - serviceTimeMs, leftMs * maxWaitShare), leftMs * minWaitShare);
  }

  /** Queues a call or refuses it. `dispatchWaiting` assigns the slots. */
  offer(call: Call, nowMs: number): OfferResult<Call> {
    const expectedWaitMs = this.expectedWaitMs(call.rank, nowMs);
    const refused = this.refusalReason(call, expectedWaitMs, nowMs);
    if (refused !== undefined) return { offer: 'refused', reason: refused, expectedWaitMs };
    return { offer: 'queued', entry: this.enqueue(call, nowMs) };
  }

  /**
   * Whether a hedge of a call may take a slot. If the target of the call is at risk, the hedge may
   * take any free slot beyond the promised ones, or the next slot ahead of less urgent waiting
   * calls; otherwise a share of the slots must stay free as well.
   *
   * @param rank - index of the call's rank
   * @param isAtRisk - whether the target of the call is at risk
   * @param promisedSlots - slots promised to other availability zones
   */
  mayHedge(rank: number, isAtRisk: boolean, promisedSlots: number, nowMs: number): boolean {
    for (let index = 0; index <= rank; index += 1) {
      if (this.queue.waitingCallsOf(index) > 0) return false;
    }
    if (this.queue.waitingCalls > 0) return isAtRisk;
    const reservedSlots = isAtRisk ? 0 : this.usableSlots(nowMs) * hedgeReserveShare;
    return this.freeSlots(nowMs) > promisedSlots + reservedSlots;
  }

  /**
   * Forecasts whether a call would be refused.
   *
   * @param callsAhead - calls of the same or a more urgent rank that will be offered before it
   */
  forecastAdmission(call: PoolCall, callsAhead: number, nowMs: number): PoolAdmissionForecast {
    const slots = this.usableSlots(nowMs);
    const isIdle = this.queue.waitingCalls === 0 && this.freeSlots(nowMs) > callsAhead;
    const waitAheadMs = slots === 0 ? 0 : (callsAhead * this.serviceTimes.overallMeanMs) / slots;
    const expectedWaitMs = isIdle ? 0 : this.expectedWaitMs(call.rank, nowMs) + waitAheadMs;
    return { reason: this.refusalReason(call, expectedWaitMs, nowMs), expectedWaitMs };
  }

  /** Queues a call without checking its expected wait. */
  enqueue(call: Call, nowMs: number): QueuedCall<Call> {
    const costMs = this.serviceTimes.meanMs(call.kind);
    const entry: QueuedCall<Call> = { call, enqueuedAtMs: nowMs, costMs, isWaiting: true };
    this.queue.push(entry);
    return entry;
  }

  /** Removes a call whose caller hung up from the queue. */
  cancel(entry: QueuedCall<Call>): void {
    this.queue.remove(entry);
  }

  /**
   * Removes the first eligible waiting call of a rank from the queue, to be sent to another zone.
   *
   * @param rank - index of the rank
   * @param isEligible - whether a call may be sent there
   */
  takeWaiting(rank: number, isEligible: (call: Call) => boolean): Call | undefined {
    for (const entry of this.queue.headsOf(rank)) {
      if (!isEligible(entry.call)) continue;
      this.queue.remove(entry);
      return entry.call;
    }
    return undefined;
  }

  /**
   * Assigns free slots to waiting calls and refuses those that waited too long.
   *
   * @returns the decisions, in order
   */
  dispatchWaiting(nowMs: number): PoolEffect<Call, BackendSlots>[] {
    const effects: PoolEffect<Call, BackendSlots>[] = [];
    if (this.queue.waitingCalls === 0) return effects;
    this.refuseExpired(nowMs, effects);
    const unplaced: QueuedCall<Call>[] = [];
    let freeSlots = this.freeSlots(nowMs);
    while (freeSlots > 0) {
      const slots = this.usableSlots(nowMs);
      const entry = this.queue.shift(slots, nowMs);
      if (entry === undefined) break;
      const backend = this.pickBackend(entry.call, nowMs);
      if (backend === undefined) {
        unplaced.push(entry);
        continue;
      }
      effects.push(this.dispatch(entry, backend, slots, nowMs));
      freeSlots -= 1;
    }
    for (const entry of unplaced.reverse()) this.queue.putBack(entry);
    return effects;
  }

  /**
   * Frees the slot of a call that has ended, and learns from its service time.
   *
   * @param backend - backend server that ran the call
   * @param outcome - how the call ended
   */
  release(backend: BackendSlots, running: RunningCall, outcome: CallOutcome, nowMs: number): void {
    backend.release(outcome);
    this.adjustRunning(running.rank, -1);
    this.queue.correctCharge(running, outcome.elapsedMs, this.usableSlots(nowMs));
    const isTimed = outcome.result === 'answered' || outcome.result === 'outpaced';
    if (isTimed) this.serviceTimes.record(running.kind, outcome.elapsedMs);
  }

  /** Estimates the time until the first lease grants slots, while none does. */
  private expectedLeaseWaitMs(nowMs: number): number {
    let earliestMs = Number.POSITIVE_INFINITY;
    for (const member of this.members) {
      if (member.standing(nowMs) === 'ejected') continue;
      earliestMs = Math.min(earliestMs, member.lease.expectedLeaseWaitMs(nowMs));
    }
    return earliestMs;
  }

  private refusalReason(call: PoolCall, waitMs: number, nowMs: number): RefusalReason | undefined {
    if (nowMs >= call.deadlineAtMs) return 'deadlinePassed';
    if (!Number.isFinite(waitMs)) return 'noSlots';
    if (this.queue.waitingCalls >= this.rules.maxQueuedCalls) return 'queueFull';
    return this.canMeetTarget(call, waitMs, nowMs) ? undefined : 'targetMissed';
  }

  private refuseExpired(nowMs: number, effects: PoolEffect<Call, BackendSlots>[]): void {
    for (;;) {
      const expired: QueuedCall<Call>[] = [];
      for (const head of this.queue.heads()) {
        if (this.expiryReason(head, nowMs) !== undefined) expired.push(head);
      }
      if (expired.length === 0) return;
      for (const entry of expired) {
        const reason = this.expiryReason(entry, nowMs) ?? 'targetMissed';
        this.queue.remove(entry);
        const expectedWaitMs = this.expectedWaitMs(entry.call.rank, nowMs);
        effects.push({ effect: 'refuse', call: entry.call, reason, expectedWaitMs });
      }
    }
  }

  private expiryReason(entry: QueuedCall<Call>, nowMs: number): RefusalReason | undefined {
    const { call } = entry;
    if (nowMs >= call.deadlineAtMs) return 'deadlinePassed';
    if (nowMs <= entry.enqueuedAtMs) return undefined;
    if (nowMs + this.serviceTimes.quantileMs(call.kind, 0) > call.targetAtMs) return 'targetMissed';
    return undefined;
  }

  private dispatch(
    entry: QueuedCall<Call>,
    backend: BackendSlots,
    slots: number,
    nowMs: number,
  ): PoolEffect<Call, BackendSlots> {
    const dispatched = entry;
    dispatched.isWaiting = false;
    const { call, costMs } = entry;
    const running: RunningCall = { kind: call.kind, rank: call.rank, costMs };
    backend.acquire();
    this.adjustRunning(running.rank, 1);
    this.queue.charge(running, slots, nowMs);
    return { effect: 'dispatch', call, backend, running };
  }

  private adjustRunning(rank: number, by: 1 | -1): void {
    this.runningByRank[rank] = (this.runningByRank[rank] ?? 0) + by;
  }

  private pickBackend(call: Call, nowMs: number): BackendSlots | undefined {
    const count = this.members.length;
    let best: BackendSlots | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    this.roundRobinOffset = (this.roundRobinOffset + 1) % Math.max(1, count);
    for (let step = 0; step < count; step += 1) {
      const member = this.members[(this.roundRobinOffset + step) % count];
      if (member === undefined || call.excluded.includes(member.backendId)) continue;
      if (member.freeSlots(nowMs) === 0) continue;
      const load = member.inFlight / member.usableSlots(nowMs);
      if (load < bestLoad) {
        best = member;
        bestLoad = load;
      }
    }
    return best;
  }
}
