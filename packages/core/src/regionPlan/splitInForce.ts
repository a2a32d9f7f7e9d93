import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { initialSplit } from './initialSplit.js';
import { moveTowards, withoutLostRegions, type SlotsByRegion } from './regionShares.js';
import { followSpeedPerMs } from './shiftCap.js';

/** Follows the planned split of one service on an entry host. */

/**
 * Time after a start in which a split is in force at once. The host receives the registered backend servers
 * and the plan in parts, other hosts follow them already, and it has hardly any calls to move.
 */
const settleMs = 3000;

/** Interval of the steps, so that the calls of one moment find the same shares. */
const stepMs = 100;

/** The split that a host follows, which moves towards the plan within the shift cap. */
export class SplitInForce {
  private shares: RegionShares = {};

  private target: RegionShares = {};

  private movedAtMs: number;

  private readonly settledAtMs: number;

  /**
   * @param callerRegion - region of the host
   * @param maxShift - shift cap: largest share of a region's calls that changes region per window, 0 to 1
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly callerRegion: string,
    private readonly maxShift: number,
    nowMs: number,
  ) {
    this.movedAtMs = nowMs;
    this.settledAtMs = nowMs + settleMs;
  }

  /**
   * Sets the split to follow.
   *
   * @param planned - split of the plan; undefined if there is no plan
   * @param slots - slots of the usable backend servers
   * @param nowMs - monotonic time
   */
  set(planned: RegionShares | undefined, slots: SlotsByRegion, nowMs: number): void {
    this.advance(nowMs);
    const initial = initialSplit(this.callerRegion, slots);
    this.target = withoutLostRegions(planned ?? initial, slots) ?? initial;
    const kept = withoutLostRegions(this.shares, slots);
    this.shares = kept === undefined || nowMs < this.settledAtMs ? this.target : kept;
  }

  /** Shares that are in force now. */
  at(nowMs: number): RegionShares {
    this.advance(nowMs);
    return this.shares;
  }

  private advance(nowMs: number): void {
    const elapsedMs = nowMs - this.movedAtMs;
    if (elapsedMs < stepMs) return;
    this.movedAtMs = nowMs;
    if (this.shares === this.target) return;
    const maxMoved = followSpeedPerMs(this.maxShift) * elapsedMs;
    this.shares = moveTowards(this.shares, this.target, maxMoved);
  }
}
