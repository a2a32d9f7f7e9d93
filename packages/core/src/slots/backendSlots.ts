import type { CallOutcome } from '@buckthornlug/protocol/steering/placementTypes.js';

import { OutlierDetector, type OutlierLimits, type Standing } from './outliers.js';
import { SlotLease } from './slotLease.js';
import type { LeaseTiming } from './slotsTypes.js';

/** The slots of one backend server in the pool of this host. */
export class BackendSlots {
  /** Lease of this host. */
  readonly lease: SlotLease;

  /** What the answers say about the backend server. */
  readonly answers: OutlierDetector;

  private running = 0;

  /**
   * @param backendId - the backend server
   * @param hostId - this host
   * @param timing - times of the lease
   * @param limits - bounds of the outlier detection
   */
  constructor(
    readonly backendId: string,
    hostId: string,
    timing: LeaseTiming,
    limits: OutlierLimits,
  ) {
    this.lease = new SlotLease(hostId, timing);
    this.answers = new OutlierDetector(limits);
  }

  /** Calls of this host that run on the backend server. */
  get inFlight(): number {
    return this.running;
  }

  /**
   * Tells how many calls may run at the same time: none while ejected, one as a probe.
   *
   * @param nowMs - current time
   */
  usableSlots(nowMs: number): number {
    const standing = this.answers.standing(nowMs);
    if (standing === 'ejected') return 0;
    const usable = this.lease.usableSlots(nowMs);
    return standing === 'probation' ? Math.min(1, usable) : usable;
  }

  /**
   * Tells how many more calls may start now.
   *
   * @param nowMs - current time
   */
  freeSlots(nowMs: number): number {
    return Math.max(0, this.usableSlots(nowMs) - this.running);
  }

  /** Standing in the outlier detection. */
  standing(nowMs: number): Standing {
    return this.answers.standing(nowMs);
  }

  /** Takes a slot. */
  acquire(): void {
    this.running += 1;
  }

  /** Gives a slot back. */
  release(outcome: CallOutcome): void {
    this.running -= 1;
    this.lease.recordInFlight(this.running);
    this.answers.record(outcome);
  }
}
