import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

/** Arithmetic of the shares of regions. */

/** Slots of the usable backend servers of one service, by region. */
export type SlotsByRegion = ReadonlyMap<string, number>;

/** Share of the calls that run in another region under `to` than under `from`. */
export function movedShare(from: RegionShares, to: RegionShares): number {
  let moved = 0;
  for (const region of new Set([...Object.keys(from), ...Object.keys(to)])) {
    moved += Math.abs((to[region] ?? 0) - (from[region] ?? 0)) / 2;
  }
  return moved;
}

/** Shares on the straight way to `to`, at most `maxMoved` of the calls away from `from`. */
export function moveTowards(from: RegionShares, to: RegionShares, maxMoved: number): RegionShares {
  const moved = movedShare(from, to);
  if (moved <= maxMoved) return to;
  const part = maxMoved / moved;
  const shares: RegionShares = {};
  for (const region of new Set([...Object.keys(from), ...Object.keys(to)])) {
    const share = from[region] ?? 0;
    shares[region] = Math.max(0, share + ((to[region] ?? 0) - share) * part);
  }
  return shares;
}

/** Shares in proportion to weights; empty if there is no weight. */
export function sharesInProportion(weights: ReadonlyMap<string, number>): RegionShares {
  let sum = 0;
  for (const weight of weights.values()) sum += weight;
  const shares: RegionShares = {};
  if (sum === 0) return shares;
  for (const [region, weight] of weights) if (weight > 0) shares[region] = weight / sum;
  return shares;
}

/**
 * Shares without those of regions that have no backend servers left, the one case in which calls move at
 * once. Undefined if no region is left.
 */
export function withoutLostRegions(
  shares: RegionShares,
  slots: SlotsByRegion,
): RegionShares | undefined {
  const kept = Object.entries(shares).filter(([region]) => (slots.get(region) ?? 0) > 0);
  if (kept.length === Object.keys(shares).length && kept.length > 0) return shares;
  const remaining = sharesInProportion(new Map(kept));
  return Object.keys(remaining).length === 0 ? undefined : remaining;
}
