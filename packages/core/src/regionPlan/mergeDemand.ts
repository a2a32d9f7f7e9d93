import type { RegionDemand } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

function addDemand(left: RegionDemand, right: RegionDemand): RegionDemand {
  const runs = { ...left.runs };
  for (const [region, count] of Object.entries(right.runs)) {
    runs[region] = (runs[region] ?? 0) + count;
  }
  const loads = { ...left.loads };
  for (const [region, { calls, slots }] of Object.entries(right.loads)) {
    const known = loads[region] ?? { calls: 0, slots: 0 };
    loads[region] = { calls: known.calls + calls, slots: known.slots + slots };
  }
  return {
    ...left,
    offeredCalls: left.offeredCalls + right.offeredCalls,
    runs,
    loads,
    activeObjects: Math.max(left.activeObjects, right.activeObjects),
  };
}

/**
 * Merges the reports of several hosts into one for each service and caller region, so that a control host
 * forwards as much for a hundred hosts as for one.
 */
export function mergeDemand(reports: readonly RegionDemand[]): RegionDemand[] {
  const merged = new Map<string, RegionDemand>();
  for (const report of reports) {
    const key = JSON.stringify([report.service, report.callerRegion]);
    const known = merged.get(key);
    merged.set(key, known === undefined ? report : addDemand(known, report));
  }
  return [...merged.values()];
}
