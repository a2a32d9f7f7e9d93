import type { RegionDemand } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

/** Counts of one service on an entry host since its last report, for the plan of the leader. */

/** A backend server with the calls that it reported, if it did recently. */
export interface ReportingBackend {
  readonly region: string;
  readonly slots: number;
  readonly reportedCalls: number | undefined;
}

/** Counts the new calls of one service and the regions in which they run. */
export class DemandCounter {
  private offeredCalls = 0;

  private runs: Record<string, number> = {};

  recordOffered(): void {
    this.offeredCalls += 1;
  }

  recordRun(region: string): void {
    this.runs[region] = (this.runs[region] ?? 0) + 1;
  }

  /**
   * Returns the counts, and starts them again.
   *
   * @param activeObjects - distinct objects of recent calls
   */
  take(
    service: string,
    callerRegion: string,
    backends: Iterable<ReportingBackend>,
    activeObjects: number,
  ): RegionDemand {
    const loads: RegionDemand['loads'] = {};
    for (const { region, slots, reportedCalls } of backends) {
      if (reportedCalls === undefined) continue;
      const known = loads[region] ?? { calls: 0, slots: 0 };
      loads[region] = { calls: known.calls + reportedCalls, slots: known.slots + slots };
    }
    const { offeredCalls, runs } = this;
    this.offeredCalls = 0;
    this.runs = {};
    return { service, callerRegion, offeredCalls, runs, loads, activeObjects };
  }
}
