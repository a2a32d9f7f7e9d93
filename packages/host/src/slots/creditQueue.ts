import type { Failure } from '@buckthornlug/protocol/results/failure.js';

import type { WaitingCall } from './slotsTypes.js';

/** Most calls that may wait for a credit at the same time. */
const maxWaitingCalls = 256;

interface CreditQueueEntry {
  readonly call: WaitingCall;
  readonly waitUntilMs: number;
  readonly refusal: Failure;
}

/** Calls that get no slot in their own zone and wait briefly for a credit of another zone. */
export class CreditQueue {
  private entries: CreditQueueEntry[] = [];

  /** Number of waiting calls. */
  get size(): number {
    return this.entries.length;
  }

  /** Number of waiting calls of a rank. */
  countOfRank(rank: number): number {
    let count = 0;
    for (const entry of this.entries) {
      if (entry.call.rank === rank) count += 1;
    }
    return count;
  }

  /**
   * Adds a call.
   *
   * @param waitUntilMs - monotonic time at which the call is refused
   * @param refusal - the refusal it gets at that time
   * @returns false if the queue is full
   */
  add(call: WaitingCall, waitUntilMs: number, refusal: Failure): boolean {
    if (this.entries.length >= maxWaitingCalls) return false;
    this.entries.push({ call, waitUntilMs, refusal });
    return true;
  }

  /** Removes and returns the first eligible call of a rank. */
  take(rank: number, isEligible: (call: WaitingCall) => boolean): WaitingCall | undefined {
    for (const [index, entry] of this.entries.entries()) {
      if (entry.call.rank !== rank || !isEligible(entry.call)) continue;
      this.entries.splice(index, 1);
      return entry.call;
    }
    return undefined;
  }

  /** Removes a call whose caller hung up. */
  remove(call: WaitingCall): void {
    this.entries = this.entries.filter((entry) => entry.call !== call);
  }

  /** Refuses the calls whose wait has ended. */
  expire(nowMs: number): void {
    if (this.entries.length === 0) return;
    const expired = this.entries.filter((entry) => nowMs >= entry.waitUntilMs);
    if (expired.length === 0) return;
    this.entries = this.entries.filter((entry) => nowMs < entry.waitUntilMs);
    for (const { call, refusal } of expired) {
      call.resolve({ place: 'refused', failure: refusal });
    }
  }

  /** Refuses all calls. */
  refuseAll(refusal: Failure): void {
    const { entries } = this;
    this.entries = [];
    for (const { call } of entries) call.resolve({ place: 'refused', failure: refusal });
  }
}
