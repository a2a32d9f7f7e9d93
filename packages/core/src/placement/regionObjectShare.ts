/**
 * Decides which share of a region's objects is handled there, for a region with fewer backend servers
 * than its callers need: what they cannot hold or run goes to other regions, the same objects always,
 * so that neither side loses the objects that it keeps.
 */

/** Part of the slots that is planned for; the rest takes waves and losses. */
const plannedLoad = 0.6;
/** Load below which a region counts as idle, so that the share does not jump. */
const minLoad = 0.05;
/** Part of the cap on moves that changes of the share use; the rest is for single calls. */
const usedShareOfCap = 0.4;
/** Time over which the cap counts. */
const capWindowMs = 2000;
/** A region with its fair part of the slots starts with all of its objects. */
const startFactor = 1.3;
/** Weight of the newest second in the loads. */
const loadWeight = 0.3;
const msPerS = 1000;

/** What the share is worked out from. */
export interface HomeLoad {
  /** Slots of the region, and of all regions. */
  readonly nearSlots: number;
  readonly allSlots: number;
  readonly regions: number;
  /** Calls at the backend servers of the region for each slot, as far as known. */
  readonly nearLoad: number;
  /** The same for the other regions. */
  readonly farLoad: number;
  /** Objects that the backend servers of the region keep. */
  readonly nearObjects: number;
  /** Objects that calls were about lately. */
  readonly seenObjects: number;
}

/** Share of the objects of the own region that stay there. */
export class HomeShare {
  private share: number | undefined;

  private movedAtMs = 0;

  private nearLoad = plannedLoad;

  private farLoad = 0;

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
    return this.share === undefined || nowMs - this.movedAtMs >= msPerS;
  }

  /**
   * Moves the share towards what the region can hold; does nothing more than once a second.
   *
   * @param load - slots, objects and calls
   * @param nowMs - monotonic time
   */
  update(load: HomeLoad, nowMs: number): void {
    if (!this.isDue(nowMs)) return;
    const elapsedMs = nowMs - this.movedAtMs;
    this.movedAtMs = nowMs;
    if (load.nearSlots === load.allSlots) {
      this.share = 1;
      return;
    }
    if (this.share === undefined) {
      const fairSlots = load.allSlots / Math.max(1, load.regions);
      this.share = Math.min(1, (startFactor * load.nearSlots) / fairSlots);
      return;
    }
    this.nearLoad += loadWeight * (load.nearLoad - this.nearLoad);
    this.farLoad += loadWeight * (load.farLoad - this.farLoad);
    const maxStep = (this.maxShift * usedShareOfCap * elapsedMs) / capWindowMs;
    const step = this.target(load, this.share) - this.share;
    this.share += Math.max(-maxStep, Math.min(maxStep, step));
  }

  /** Share at which the region would be as busy as planned, or no busier than the others. */
  private target({ nearObjects, seenObjects }: HomeLoad, share: number): number {
    const wantedLoad = Math.max(plannedLoad, this.farLoad);
    const byLoad = (share * wantedLoad) / Math.max(minLoad, this.nearLoad);
    const byObjects = nearObjects / Math.max(1, seenObjects);
    return Math.min(1, byLoad, byObjects);
  }
}
