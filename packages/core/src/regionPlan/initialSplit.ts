import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { sharesInProportion, type SlotsByRegion } from './regionShares.js';

/** Split of the calls of a region that needs nothing but the registered backend servers. */

/** Factor on the home share: a region with its fair part of the slots starts with all of its calls. */
const homeShareFactor = 1.3;

/**
 * Builds a split from the share that stays in the region; the rest goes to the other regions by weight.
 *
 * @param weightOf - weight of another region; 0 if it gets no calls
 */
export function splitByHomeShare(
  callerRegion: string,
  slots: SlotsByRegion,
  homeShare: number,
  weightOf: (region: string, regionSlots: number) => number,
): RegionShares {
  const weights = new Map<string, number>();
  for (const [region, regionSlots] of slots) {
    if (region !== callerRegion && regionSlots > 0) {
      weights.set(region, weightOf(region, regionSlots));
    }
  }
  const elsewhere = sharesInProportion(weights);
  const homeSlots = slots.get(callerRegion) ?? 0;
  if (homeSlots === 0) return elsewhere;
  if (Object.keys(elsewhere).length === 0) return { [callerRegion]: 1 };
  const shares: RegionShares = { [callerRegion]: homeShare };
  for (const [region, share] of Object.entries(elsewhere)) shares[region] = share * (1 - homeShare);
  return shares;
}

/**
 * The split that holds before any demand is known: a region with few slots leaves calls to the others in
 * proportion to their slots. All hosts that know the same backend servers compute the same one.
 */
export function initialSplit(callerRegion: string, slots: SlotsByRegion): RegionShares {
  let totalSlots = 0;
  let regions = 0;
  for (const regionSlots of slots.values()) {
    totalSlots += regionSlots;
    regions += Number(regionSlots > 0);
  }
  const fairSlots = totalSlots / Math.max(1, regions);
  const homeSlots = slots.get(callerRegion) ?? 0;
  const homeShare = fairSlots === 0 ? 0 : Math.min(1, (homeShareFactor * homeSlots) / fairSlots);
  return splitByHomeShare(callerRegion, slots, homeShare, (_region, regionSlots) => regionSlots);
}
