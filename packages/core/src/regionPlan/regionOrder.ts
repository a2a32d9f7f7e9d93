import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { hashText } from '../hash/textHash.js';
import type { SlotsByRegion } from './regionShares.js';

/** Orders the regions for a call, so that the first ones are spread as the shares say. */

const hashRange = 2 ** 32;

interface RankedRegion {
  readonly region: string;
  readonly hasShare: boolean;
  readonly rank: number;
}

/**
 * Weighted rendezvous hashing: a change of the shares moves hardly more keys than the shares move, and
 * the order without a region is the same for all others. Regions without a share come last, by their slots, for
 * calls that the others cannot take.
 *
 * @param key - object of the call
 * @param shares - share of each region
 * @param slots - slots of the usable backend servers
 * @returns the regions that may get the call, the one that the key belongs to first
 */
export function orderRegions(key: string, shares: RegionShares, slots: SlotsByRegion): string[] {
  const ranked: RankedRegion[] = [];
  for (const region of new Set([...Object.keys(shares), ...slots.keys()])) {
    const share = shares[region] ?? 0;
    const weight = share > 0 ? share : (slots.get(region) ?? 0);
    if (weight <= 0) continue;
    const draw = (hashText(`home ${key} ${region}`) + 1) / (hashRange + 1);
    ranked.push({ region, hasShare: share > 0, rank: -Math.log(draw) / weight });
  }
  ranked.sort(
    (left, right) =>
      Number(right.hasShare) - Number(left.hasShare) ||
      left.rank - right.rank ||
      (left.region < right.region ? -1 : 1),
  );
  return ranked.map(({ region }) => region);
}
