/**
 * Decides which share of a region's objects is handled there, for a region with fewer backend servers
 * than its callers need: what they cannot hold or run goes to other regions, the same objects always,
 * so that neither side loses the objects that it keeps.
 */

/** Part of the slots that is planned for; the rest takes waves and losses. */
const plannedLoad = 0.6;
/** Part of the cap on moves that changes of the share use; the rest is for single calls. */
const usedShareOfCap = 0.4;
/** Time over which the cap counts. */
const capWindowMs = 2000;
/** A region with its fair part of the slots starts with all of its objects. */
const startFactor = 1.3;
/** Weight of the newest second in the rate of calls. */
const rateWeight = 0.3;
const msPerS = 1000;

/** What the share is worked out from. */
export interface HomeLoad {
  /** Slots of the region, and of all regions. */
  readonly nearSlots: number;
  readonly allSlots: number;
  readonly regions: number;
  /** Objects that the backend servers of the region keep. */
  readonly nearObjects: number;
  /** Objects that calls were about lately. */
  readonly seenObjects: number;
  /** Time of a call whose object is kept. */
  readonly callMs: number;
  /** Entry hosts of the region, which share its calls. */
  readonly entryHosts: number;
}

/** Share of the objects of the own region that stay there. */
export class HomeShare {
  private share: number | undefined;

  private movedAtMs = 0;

  private calls = 0;

  private callsPerS = 0;

  /**
   * @param maxShift - largest change of the share of a region's calls that run elsewhere, 0 to 1
   */
  constructor(private readonly maxShift: number) {}

  /** Share of the objects that stay, 0 to 1. */
  get value(): number {
    return this.share ?? 1;
  }

  /** Takes note of a call of the own region. */
  noteCall(): void {
    this.calls += 1;
  }

  /**
   * Moves the share towards what the region can hold; does nothing more than once a second.
   *
   * @param load - slots, objects and calls
   * @param nowMs - monotonic time
   */
  update(load: HomeLoad, nowMs: number): void {
    if (load.allSlots === 0) return;
    if (this.share === undefined) {
      const fairSlots = load.allSlots / Math.max(1, load.regions);
      this.share = Math.min(1, (startFactor * load.nearSlots) / fairSlots);
      this.movedAtMs = nowMs;
      return;
    }
    const elapsedMs = nowMs - this.movedAtMs;
    if (elapsedMs < msPerS) return;
    this.callsPerS += rateWeight * ((this.calls * msPerS) / elapsedMs - this.callsPerS);
    this.calls = 0;
    this.movedAtMs = nowMs;
    const maxStep = (this.maxShift * usedShareOfCap * elapsedMs) / capWindowMs;
    const step = HomeShare.target(load, this.callsPerS) - this.share;
    this.share += Math.max(-maxStep, Math.min(maxStep, step));
  }

  private static target(load: HomeLoad, callsPerS: number): number {
    const busySlots = (callsPerS * load.entryHosts * load.callMs) / msPerS;
    const byLoad = (load.nearSlots * plannedLoad) / Math.max(1, busySlots);
    const byObjects = load.nearObjects / Math.max(1, load.seenObjects);
    return Math.min(1, byLoad, byObjects);
  }
}
