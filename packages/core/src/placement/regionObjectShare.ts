/**
 * Computes which share of a region's objects the region handles itself. A region with fewer backend
 * servers than its callers need leaves the rest to other regions, always the same objects, so that
 * neither side evicts its warm objects.
 */

/** Calls per slot that are planned for; the rest is headroom for bursts and lost backend servers. */
const targetLoadPerSlot = 0.6;
/** Lower limit of the load that the share is divided by, so that it does not jump in an idle region. */
const minLoadPerSlot = 0.05;
/** Part of the shift cap that changes of the share use; the rest is for the spillover of single calls. */
const usedCapShare = 0.4;
/** Window to which the shift cap applies. */
const capWindowMs = 2000;
/** Factor on the initial share: a region with its fair part of the slots starts with all of its objects. */
const initialShareFactor = 1.3;
/** Weight of the newest second in the smoothed loads. */
const newestLoadWeight = 0.3;
const msPerS = 1000;

/** Inputs of the share. */
export interface ObjectShareInputs {
  /** Slots of the backend servers of the region. */
  readonly regionSlots: number;
  /** Slots of the backend servers of all regions. */
  readonly totalSlots: number;
  /** Number of regions that have backend servers. */
  readonly regions: number;
  /** Calls per slot of the region, as reported by its backend servers. */
  readonly regionLoadPerSlot: number;
  /** Calls per slot of the other regions. */
  readonly otherLoadPerSlot: number;
  /** Objects that the backend servers of the region can keep warm. */
  readonly regionObjectCapacity: number;
  /** Distinct objects of recent calls. */
  readonly activeObjects: number;
}

/** Share of the objects of this host's region that the region handles itself. */
export class RegionObjectShare {
  private share: number | undefined;

  private updatedAtMs = 0;

  private regionLoadPerSlot = targetLoadPerSlot;

  private otherLoadPerSlot = 0;

  /**
   * @param maxShift - shift cap: largest change per window of the share of the region's calls that run
   *   in other regions, 0 to 1
   */
  constructor(private readonly maxShift: number) {}

  /** Share of the objects that the region handles itself, 0 to 1. */
  get value(): number {
    return this.share ?? 1;
  }

  /** Whether a second has passed since the last update. */
  isDue(nowMs: number): boolean {
    return this.share === undefined || nowMs - this.updatedAtMs >= msPerS;
  }

  /**
   * Moves the share towards its target, at most once a second.
   *
   * @param inputs - current slots, loads and objects
   * @param nowMs - monotonic time
   */
  update(inputs: ObjectShareInputs, nowMs: number): void {
    if (!this.isDue(nowMs)) return;
    const elapsedMs = nowMs - this.updatedAtMs;
    this.updatedAtMs = nowMs;
    if (inputs.regionSlots === inputs.totalSlots) {
      this.share = 1;
      return;
    }
    if (this.share === undefined) {
      const fairSlots = inputs.totalSlots / Math.max(1, inputs.regions);
      this.share = Math.min(1, (initialShareFactor * inputs.regionSlots) / fairSlots);
      return;
    }
    this.regionLoadPerSlot +=
      newestLoadWeight * (inputs.regionLoadPerSlot - this.regionLoadPerSlot);
    this.otherLoadPerSlot += newestLoadWeight * (inputs.otherLoadPerSlot - this.otherLoadPerSlot);
    const maxStep = (this.maxShift * usedCapShare * elapsedMs) / capWindowMs;
    const step = this.target(inputs, this.share) - this.share;
    this.share += Math.max(-maxStep, Math.min(maxStep, step));
  }

  /**
   * Share at which the region reaches the planned load, or the load of the other regions if that is
   * higher; no larger than the share of the objects that the region can keep warm.
   */
  private target(
    { regionObjectCapacity, activeObjects }: ObjectShareInputs,
    share: number,
  ): number {
    const targetLoad = Math.max(targetLoadPerSlot, this.otherLoadPerSlot);
    const shareByLoad = (share * targetLoad) / Math.max(minLoadPerSlot, this.regionLoadPerSlot);
    const shareByObjects = regionObjectCapacity / Math.max(1, activeObjects);
    return Math.min(1, shareByLoad, shareByObjects);
  }
}
