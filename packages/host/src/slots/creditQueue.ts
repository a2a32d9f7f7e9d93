import type { Failure } from '@buckthornlug/protocol/results/failure.js';

import type { WaitingCall } from './slotsTypes.js';

/** Calls that may wait for credits at the same time. */
const maxWaitingCalls = 256;

interface CreditQueueEntry {
  readonly call: WaitingCall;
  readonly waitUntilMs: number;
  readonly refusal: Failure;
}

/** Calls that get no slot at home and wait shortly for a credit of another zone. */
export class CreditQueue {
  private entries: CreditQueueEntry[] = [];

  /** Calls that wait. */
  get size(): number {
    return this.entries.length;
  }

  /** Calls of a rank that wait. */
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
   * @param call - the call
   * @param waitUntilMs - time until which it waits
   * @param refusal - why it is refused then
   * @returns false where too many calls wait
   */
  add(call: WaitingCall, waitUntilMs: number, refusal: Failure): boolean {
    if (this.entries.length >= maxWaitingCalls) return false;
    this.entries.push({ call, waitUntilMs, refusal });
    return true;
  }

  /** Takes the first call of a rank that may go to a host. */
  take(rank: number, isEligible: (call: WaitingCall) => boolean): WaitingCall | undefined {
    for (const [index, entry] of this.entries.entries()) {
      if (entry.call.rank !== rank || !isEligible(entry.call)) continue;
      this.entries.splice(index, 1);
      return entry.call;
    }
    return undefined;
  }

  /** Takes a call out whose caller hung up. */
  remove(call: WaitingCall): void {
    this.entries = this.entries.filter((entry) => entry.call !== call);
  }

  /** Refuses the calls that waited long enough. */
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
