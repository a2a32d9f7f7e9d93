/**
 * Decides which share of a region's objects is handled there, for a region with fewer backend servers
 * than its callers need: what they cannot hold or run goes to other regions, the same objects always,
 * so that neither side loses the objects that it keeps.
 */

/** Part of the slots that is planned for; the rest takes waves and losses. */
const targetLoadPerSlot = 0.6;
/** Load below which a region counts as idle, so that the share does not jump. */
const minLoadPerSlot = 0.05;
/** Part of the cap on moves that changes of the share use; the rest is for single calls. */
const usedCapShare = 0.4;
/** Time over which the cap counts. */
const capWindowMs = 2000;
/** A region with its fair part of the slots starts with all of its objects. */
const initialShareFactor = 1.3;
/** Weight of the newest second in the loads. */
const newestLoadWeight = 0.3;
const msPerS = 1000;

/** What the share is worked out from. */
export interface ObjectShareInputs {
  /** Slots of the region, and of all regions. */
  readonly regionSlots: number;
  readonly totalSlots: number;
  readonly regions: number;
  /** Calls at the backend servers of the region for each slot, as far as known. */
  readonly regionLoadPerSlot: number;
  /** The same for the other regions. */
  readonly otherLoadPerSlot: number;
  /** Objects that the backend servers of the region keep. */
  readonly regionObjectCapacity: number;
  /** Objects that calls were about lately. */
  readonly activeObjects: number;
}

/** Share of the objects of the own region that stay there. */
export class RegionObjectShare {
  private share: number | undefined;

  private updatedAtMs = 0;

  private regionLoadPerSlot = targetLoadPerSlot;

  private otherLoadPerSlot = 0;

  /**
   * @param maxShift - largest change of the share of a region's calls that run elsewhere, 0 to 1
   */
  constructor(private readonly maxShift: number) {}

  /** Share of the objects that stay, 0 to 1. */
  get value(): number {
    return this.share ?? 1;
  }

  /** Whether a second has passed since the last update. */
  isDue(nowMs: number): boolean {
    return this.share === undefined || nowMs - this.updatedAtMs >= msPerS;
  }

  /**
   * Moves the share towards what the region can hold; does nothing more than once a second.
   *
   * @param inputs - slots, objects and calls
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

  /** Share at which the region would be as busy as planned, or no busier than the others. */
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
