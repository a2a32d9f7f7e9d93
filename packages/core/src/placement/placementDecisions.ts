import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import type { RegionVerdict } from '../regionPlan/evenRefusals.js';
import type { Candidate } from './candidateScore.js';
import type {
  PlaceableCall,
  PlacementDecision,
  ScoredBackend,
  TurnAwayReason,
} from './placementTypes.js';

/** What follows from the score of a candidate. */

/** Shortest time after which a caller is asked to retry. */
const minRetryAfterMs = 100;
/** Time until the calls ahead have ended and the penalties of the candidate are gone. */
function roomInMsOf({ costMs, expectedMs }: ScoredBackend): number {
  return costMs - expectedMs;
}

/**
 * Mean of these times over the planned regions of the callers' region.
 *
 * @param candidates - the best candidate of each region, if there is one
 * @param shares - share of the calls that is planned for each region
 */
export function meanRoomInMs(
  candidates: ReadonlyMap<string, Candidate | undefined>,
  shares: RegionShares,
): number {
  let sumMs = 0;
  let weights = 0;
  for (const [region, candidate] of candidates) {
    if (candidate === undefined) continue;
    // A region without a share serves calls that only it may serve.
    const weight = candidates.size === 1 ? 1 : (shares[region] ?? 0);
    sumMs += weight * roomInMsOf(candidate);
    weights += weight;
  }
  return weights === 0 ? 0 : sumMs / weights;
}

/**
 * @param capacityExpectedInMs - time after which the caller is asked to return, if it is not too short
 * @param best - the best candidate, if there was one
 */
export function turnAway<Call extends PlaceableCall>(
  call: Call,
  reason: TurnAwayReason,
  capacityExpectedInMs: number,
  best?: ScoredBackend,
): Extract<PlacementDecision<Call>, { readonly decision: 'turnAway' }> {
  const retryAfterMs = Math.max(minRetryAfterMs, capacityExpectedInMs);
  return { decision: 'turnAway', call, reason, retryAfterMs, ...(best && { best }) };
}

/** What the region of the best candidate for a call would do with it now. */
export function verdictOn(
  call: PlaceableCall,
  candidate: Candidate | undefined,
  nowMs: number,
): RegionVerdict {
  if (candidate === undefined) return 'turnAway';
  if (candidate.hasRoom) return 'send';
  return nowMs + candidate.costMs > call.targetAtMs ? 'turnAway' : 'wait';
}
