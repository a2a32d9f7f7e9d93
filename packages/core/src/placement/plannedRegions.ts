import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { orderRegions } from '../regionPlan/regionOrder.js';
import { SplitInForce } from '../regionPlan/splitInForce.js';
import type { PlaceableCall } from './placementTypes.js';
import { slotsByRegionOf } from './preferredBackends.js';
import type { TrackedBackend } from './trackedBackend.js';

/** The regions that may serve the calls of one service on an entry host, by the plan and by what is lost. */

/** Share of the registered backend servers of a region below which its calls may all run elsewhere. */
const degradedRegionShare = 0.5;

/**
 * Weight of the slots beside the planned shares where only some regions may serve a call. The shares of these
 * regions may be small, so that a step of the plan would move most of such calls.
 */
const homeWeightBySlots = 0.2;

/** Regions that have less than half of their backend servers left. */
function findDegradedRegions(
  backends: readonly TrackedBackend[],
  registered: ReadonlyMap<string, number>,
): ReadonlySet<string> {
  const usable = new Map<string, number>();
  for (const { region } of backends) usable.set(region, (usable.get(region) ?? 0) + 1);
  const degraded = new Set<string>();
  for (const [region, count] of registered) {
    if ((usable.get(region) ?? 0) < count * degradedRegionShare) degraded.add(region);
  }
  return degraded;
}

/** Orders the regions for each call. */
export class PlannedRegions<Call extends PlaceableCall> {
  private backends: readonly TrackedBackend[] = [];

  private slotsByRegion: ReadonlyMap<string, number> = new Map();

  /** Regions that have lost so many backend servers that all of their calls may run elsewhere. */
  private degradedRegions: ReadonlySet<string> = new Set();

  private readonly split: SplitInForce;

  /** Order of the regions for each call, which waiting calls ask for at each scan. */
  private readonly orders = new WeakMap<
    Call,
    { readonly shares: RegionShares; readonly order: readonly string[] }
  >();

  /**
   * @param region - region of this host
   * @param maxShift - shift cap: largest share of a region's calls that changes region per window, 0 to 1
   * @param nowMs - monotonic time
   */
  constructor(region: string, maxShift: number, nowMs: number) {
    this.split = new SplitInForce(region, maxShift, nowMs);
  }

  /**
   * Sets the backend servers that may get calls.
   *
   * @param registered - number of backend servers that each region would have without recent losses
   */
  reconfigure(backends: readonly TrackedBackend[], registered: ReadonlyMap<string, number>): void {
    this.backends = backends;
    this.slotsByRegion = slotsByRegionOf(backends);
    this.degradedRegions = findDegradedRegions(backends, registered);
  }

  /**
   * Sets the planned split of the calls of this host's region.
   *
   * @param planned - undefined if there is no plan
   * @param nowMs - monotonic time
   */
  setSplit(planned: RegionShares | undefined, nowMs: number): void {
    // Cold backend servers elsewhere get no calls of this host.
    const isInUse = (backend: TrackedBackend) =>
      backend.distance !== 'far' || !backend.isCold(nowMs);
    this.split.set(planned, slotsByRegionOf(this.backends.filter(isInUse)), nowMs);
  }

  /** Share of the calls that each region gets. */
  sharesAt(nowMs: number): RegionShares {
    return this.split.at(nowMs);
  }

  /** Regions that may serve a call, the planned one first. */
  regionsFor(call: Call, nowMs: number): readonly string[] {
    const shares = this.split.at(nowMs);
    const known = this.orders.get(call);
    if (known?.shares === shares) return known.order;
    const order = this.orderFor(call, shares);
    this.orders.set(call, { shares, order });
    return order;
  }

  /**
   * Whether a region has lost its backend servers, or more than half of them. One whose backend servers have
   * all asked for a pause is full, not lost.
   *
   * @param isAvailable - whether a backend server may get calls now
   */
  isLost(
    region: string,
    isAvailable: (backend: TrackedBackend) => boolean,
    nowMs: number,
  ): boolean {
    if (this.degradedRegions.has(region)) return true;
    for (const backend of this.backends) {
      if (backend.region !== region || backend.isBackingOff(nowMs)) continue;
      if (backend.isPaused(nowMs) || isAvailable(backend)) return false;
    }
    return true;
  }

  private orderFor({ objectKey, requestId, homeRegions }: Call, shares: RegionShares): string[] {
    const key = objectKey ?? requestId;
    if (homeRegions.length === 0) return orderRegions(key, shares, this.slotsByRegion);
    let totalSlots = 0;
    for (const slots of this.slotsByRegion.values()) totalSlots += slots;
    const weights: RegionShares = {};
    for (const [region, slots] of this.slotsByRegion) {
      if (!homeRegions.includes(region)) continue;
      weights[region] = (shares[region] ?? 0) + (homeWeightBySlots * slots) / totalSlots;
    }
    return orderRegions(key, weights, new Map());
  }
}
