import type { CallOutcome } from '@buckthornlug/protocol/steering/placementTypes.js';

import { OutlierDetector, type OutlierLimits, type Standing } from './outliers.js';
import { SlotLease } from './slotLease.js';
import type { LeaseTiming } from './slotsTypes.js';

/** The slots of one backend server in the pool of this host. */
export class BackendSlots {
  /** Lease of this host on the slots. */
  readonly lease: SlotLease;

  /** Outlier detection from the outcomes of its calls. */
  readonly answers: OutlierDetector;

  private running = 0;

  /**
   * @param hostId - this host
   * @param timing - timing of the lease
   * @param limits - thresholds of the outlier detection
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

  /** Number of calls that may run at the same time: none while ejected, one during probation. */
  usableSlots(nowMs: number): number {
    const standing = this.answers.standing(nowMs);
    if (standing === 'ejected') return 0;
    const usable = this.lease.usableSlots(nowMs);
    return standing === 'probation' ? Math.min(1, usable) : usable;
  }

  /** Number of calls that may start now. */
  freeSlots(nowMs: number): number {
    return Math.max(0, this.usableSlots(nowMs) - this.running);
  }

  /** Standing in the outlier detection. */
  standing(nowMs: number): Standing {
    return this.answers.standing(nowMs);
  }

  /** Occupies a slot. */
  acquire(): void {
    this.running += 1;
  }

  /** Frees a slot and records the outcome of its call. */
  release(outcome: CallOutcome): void {
    this.running -= 1;
    this.lease.recordInFlight(this.running);
    this.answers.record(outcome);
  }
}
