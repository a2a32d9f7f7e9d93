import { DecayingRate } from './decayingRate.js';
import type { PoolCall, PoolRules, QueuedCall, RunningCall } from './poolTypes.js';
import { RankQueue } from './rankQueue.js';
import { SlotTimeBucket } from './slotTimeBucket.js';
import { estimateWaitMs, floorWaitShare, type RankLoad } from './waitEstimate.js';

/** Time over which unused floor tokens and debts accumulate. */
const floorBurstMs = 500;
/** Factor on the floors that compensates for calls that end late or are abandoned. */
const floorMargin = 1.02;
/** Time constant of the load averages. */
const loadTimeConstantMs = 400;

interface RankState<Call extends PoolCall> {
  readonly queue: RankQueue<Call>;
  readonly floor: SlotTimeBucket;
  readonly dispatchRate: DecayingRate;
}

/** Queue of a pool: serves the ranks by urgency, and guarantees each rank its floor. */
export class PoolQueue<Call extends PoolCall> {
  private readonly ranks: RankState<Call>[];

  /** @param rules - rules of the pool */
  constructor(
    private readonly rules: PoolRules,
    nowMs: number,
  ) {
    this.ranks = rules.ranks.map((rule) => ({
      queue: new RankQueue<Call>(),
      floor: new SlotTimeBucket((rule.floorPermille * floorMargin) / 1000, floorBurstMs, nowMs),
      dispatchRate: new DecayingRate(loadTimeConstantMs),
    }));
  }

  /** Number of waiting calls of all ranks. */
  get waitingCalls(): number {
    let calls = 0;
    for (const rank of this.ranks) calls += rank.queue.waitingCalls;
    return calls;
  }

  /** Number of waiting calls of one rank. */
  waitingCallsOf(rank: number): number {
    return this.ranks[rank]?.queue.waitingCalls ?? 0;
  }

  /** Adds a call to its rank. */
  push(entry: QueuedCall<Call>): void {
    this.ranks[entry.call.rank]?.queue.push(entry);
  }

  /** Returns a call that found no suitable slot to the front of its kind. */
  putBack(entry: QueuedCall<Call>): void {
    this.ranks[entry.call.rank]?.queue.putBack(entry);
  }

  /** Removes a waiting call. */
  remove(entry: QueuedCall<Call>): void {
    this.ranks[entry.call.rank]?.queue.remove(entry);
  }

  /**
   * Takes the next call: of a starved rank with floor tokens left, else of the most urgent rank.
   *
   * @param slots - slots of the pool
   */
  shift(slots: number, nowMs: number): QueuedCall<Call> | undefined {
    for (const [index, rank] of this.ranks.entries()) {
      if (this.isStarved(index, rank, slots, nowMs)) return rank.queue.shift();
    }
    return this.shiftMostUrgent();
  }

  /** Takes the next call of the most urgent rank with waiting calls, regardless of the floors. */
  shiftMostUrgent(): QueuedCall<Call> | undefined {
    for (const rank of this.ranks) {
      if (rank.queue.waitingCalls > 0) return rank.queue.shift();
    }
    return undefined;
  }

  /** Longest-waiting call of each kind of one rank. */
  headsOf(rank: number): Iterable<QueuedCall<Call>> {
    return this.ranks[rank]?.queue.heads() ?? [];
  }

  /** Charges its rank the expected slot time of a call that starts. */
  charge(running: RunningCall, slots: number, nowMs: number): void {
    const rank = this.ranks[running.rank];
    if (rank === undefined) return;
    rank.floor.refill(slots, nowMs);
    rank.floor.charge(running.costMs, slots);
    rank.dispatchRate.add(running.costMs, nowMs);
  }

  /** Corrects the charge of a finished call to the slot time that it took. */
  correctCharge(running: RunningCall, elapsedMs: number, slots: number): void {
    this.ranks[running.rank]?.floor.charge(elapsedMs - running.costMs, slots);
  }

  /** Longest-waiting call of each kind of each rank. */
  *heads(): Generator<QueuedCall<Call>> {
    for (const rank of this.ranks) {
      if (rank.queue.waitingCalls > 0) yield* rank.queue.heads();
    }
  }

  /** Load of each rank, as input of the wait estimate. */
  loads(nowMs: number): RankLoad[] {
    return this.ranks.map((rank) => ({
      waitingSlotMs: rank.queue.waitingSlotMs,
      busySlots: rank.dispatchRate.perMs(nowMs),
    }));
  }

  /**
   * Estimates the wait of a new call.
   *
   * @param rank - index of the call's rank
   * @param slots - slots of the pool
   * @param meanServiceMs - expected slot time of one call
   */
  expectedWaitMs(rank: number, slots: number, meanServiceMs: number, nowMs: number): number {
    return estimateWaitMs(rank, this.rules.ranks, this.loads(nowMs), slots, meanServiceMs);
  }

  private isStarved(index: number, rank: RankState<Call>, slots: number, nowMs: number): boolean {
    if (rank.queue.waitingCalls === 0) return false;
    const targetMs = this.rules.ranks[index]?.targetMs ?? 0;
    if (nowMs - rank.queue.waitingSinceMs < targetMs * floorWaitShare) return false;
    rank.floor.refill(slots, nowMs);
    return rank.floor.hasTokens;
  }
}
