import type { BackendRegistry } from '@buckthornlug/core/registry/backendRegistry.js';

/** Detects backend servers that have stopped reporting. */

/** Consecutive reports that may be missed before a backend server counts as silent. */
const maxMissedReports = 4;

/** Records the last report of each backend server to any control host. */
export class BackendReportTimes {
  private readonly reportedAtMs = new Map<string, number>();

  /** Time since which this host gets the reports of all backend servers. */
  private observedSinceMs: number;

  /**
   * @param reportIntervalMs - interval of the reports of a backend server
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly reportIntervalMs: number,
    nowMs: number,
  ) {
    this.observedSinceMs = nowMs;
  }

  /** Records a report; an older one than the last is ignored. */
  record(backendId: string, atMs: number): void {
    const previousMs = this.reportedAtMs.get(backendId) ?? Number.NEGATIVE_INFINITY;
    if (atMs > previousMs) this.reportedAtMs.set(backendId, atMs);
  }

  /**
   * Restarts the observation on a new leader, since earlier reports may have gone to another host.
   */
  restartObservation(nowMs: number): void {
    this.observedSinceMs = nowMs;
  }

  /** Backend servers that reported within a time, with the age of their last report. */
  recentReportAges(withinMs: number, nowMs: number): { backendId: string; ageMs: number }[] {
    const recent: { backendId: string; ageMs: number }[] = [];
    for (const [backendId, atMs] of this.reportedAtMs) {
      const ageMs = Math.max(0, nowMs - atMs);
      if (ageMs <= withinMs) recent.push({ backendId, ageMs });
    }
    return recent;
  }

  /**
   * Registered backend servers that have missed too many reports.
   *
   * @param registry - committed records
   * @param nowMs - monotonic time
   */
  silent(registry: BackendRegistry, nowMs: number): { backendId: string; bornAtMs: number }[] {
    const limitMs = this.reportIntervalMs * maxMissedReports;
    const silent: { backendId: string; bornAtMs: number }[] = [];
    for (const { backendId, bornAtMs, state } of registry.changedSince(0)) {
      if (state === 'gone' || state === 'silent') continue;
      const lastReportAtMs = Math.max(this.observedSinceMs, this.reportedAtMs.get(backendId) ?? 0);
      if (nowMs - lastReportAtMs > limitMs) silent.push({ backendId, bornAtMs });
    }
    return silent;
  }

  /** Drops the report times of backend servers that are gone from the registry. */
  forgetGone(registry: BackendRegistry): void {
    for (const backendId of this.reportedAtMs.keys()) {
      const state = registry.find(backendId)?.state;
      if (state === undefined || state === 'gone') this.reportedAtMs.delete(backendId);
    }
  }
}
