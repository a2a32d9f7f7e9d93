import type { ReplayedRun } from './replayTypes.js';

/** Measures which share of a region's calls changes the region in which they run. */

/** Length of the windows that are compared; the shift cap applies to two of them in a row. */
const windowMs = 2000;
/** Distance between the starts of the windows that are measured. */
const windowStepMs = 250;

/** Two windows in a row, and the share of the calls that changed region between them. */
export interface RegionMove {
  readonly fromRegion: string;
  readonly startMs: number;
  readonly movedShare: number;
  /** Calls of the window with fewer of them. */
  readonly calls: number;
}

interface WindowCounts {
  readonly calls: number;
  readonly byRegion: ReadonlyMap<string, number>;
}

function countWindow(runs: readonly ReplayedRun[], startMs: number): WindowCounts {
  const byRegion = new Map<string, number>();
  let calls = 0;
  for (const { toRegion, atMs } of runs) {
    if (atMs < startMs || atMs >= startMs + windowMs) continue;
    byRegion.set(toRegion, (byRegion.get(toRegion) ?? 0) + 1);
    calls += 1;
  }
  return { calls, byRegion };
}

function movedBetween(before: WindowCounts, after: WindowCounts): number {
  let moved = 0;
  for (const region of new Set([...before.byRegion.keys(), ...after.byRegion.keys()])) {
    const shareBefore = (before.byRegion.get(region) ?? 0) / before.calls;
    const shareAfter = (after.byRegion.get(region) ?? 0) / after.calls;
    moved += Math.abs(shareAfter - shareBefore) / 2;
  }
  return moved;
}

/**
 * Finds the largest move of each region.
 *
 * @param runs - calls in the order in which they were sent
 * @param fromMs - time from which windows are compared
 */
export function largestMoves(runs: readonly ReplayedRun[], fromMs: number): RegionMove[] {
  const largest: RegionMove[] = [];
  const endMs = runs.at(-1)?.atMs ?? 0;
  for (const fromRegion of new Set(runs.map((run) => run.fromRegion))) {
    const own = runs.filter((run) => run.fromRegion === fromRegion);
    let found: RegionMove | undefined;
    for (let startMs = fromMs; startMs + 2 * windowMs <= endMs; startMs += windowStepMs) {
      const [before, after] = [countWindow(own, startMs), countWindow(own, startMs + windowMs)];
      const calls = Math.min(before.calls, after.calls);
      if (calls === 0) continue;
      const movedShare = movedBetween(before, after);
      if (found === undefined || movedShare > found.movedShare) {
        found = { fromRegion, startMs, movedShare, calls };
      }
    }
    if (found !== undefined) largest.push(found);
  }
  return largest;
}
