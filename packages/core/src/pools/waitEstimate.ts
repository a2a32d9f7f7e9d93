import type { RankRule } from './poolTypes.js';

/** Load of one rank, as input of the estimate. */
export interface RankLoad {
  /** Expected slot time of the waiting calls. */
  readonly waitingSlotMs: number;
  /** Average number of slots that the rank used recently. */
  readonly busySlots: number;
}

/** Smallest share of the slots that the estimate assumes to be available to a rank. */
const minServiceShare = 0.02;

/** Share of its target that a starved rank waits before it is served from its floor. */
export const floorWaitShare = 0.1;

/**
 * Estimates how long a new call of a rank waits for a slot when none is free.
 *
 * @param rank - index of the rank
 * @param rules - rules of all ranks
 * @param loads - load of all ranks
 * @param slots - slots of the pool
 * @param meanServiceMs - expected slot time of one call
 * @returns expected wait in milliseconds; infinity without slots
 */
export function estimateWaitMs(
  rank: number,
  rules: readonly RankRule[],
  loads: readonly RankLoad[],
  slots: number,
  meanServiceMs: number,
): number {
  if (slots <= 0) return Number.POSITIVE_INFINITY;
  let aheadSlotMs = 0;
  let takenShare = 0;
  for (const [index, load] of loads.entries()) {
    if (index <= rank) aheadSlotMs += load.waitingSlotMs;
    if (index < rank) takenShare += load.busySlots / slots;
    if (index > rank && load.waitingSlotMs > 0) {
      takenShare += Math.min(load.busySlots / slots, (rules[index]?.floorPermille ?? 0) / 1000);
    }
  }
  const residualMs = meanServiceMs / slots;
  const leftShare = Math.max(minServiceShare, 1 - takenShare);
  const byPriorityMs = (residualMs + aheadSlotMs / slots) / leftShare;
  const rule = rules[rank];
  if (rule === undefined || rule.floorPermille === 0) return byPriorityMs;
  const ownSlotMs = loads[rank]?.waitingSlotMs ?? 0;
  const floorSlots = (slots * rule.floorPermille) / 1000;
  const byFloorMs = rule.targetMs * floorWaitShare + (ownSlotMs + meanServiceMs) / floorSlots;
  return Math.min(byPriorityMs, byFloorMs);
}
