import type { BackendRegistry } from '@buckthornlug/core/registry/backendRegistry.js';

/** Finds backend servers that report no more. */

/** Reports that may fail to come before a backend server counts as silent. */
const maxMissedReports = 4;

/** Notes when backend servers were last heard of, over all control hosts. */
export class BackendReportTimes {
  private readonly reportedAtMs = new Map<string, number>();

  /** Start of the time in which this host has heard of all backend servers. */
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

  /** Notes a report of a backend server. */
  record(backendId: string, atMs: number): void {
    const previousMs = this.reportedAtMs.get(backendId) ?? Number.NEGATIVE_INFINITY;
    if (atMs > previousMs) this.reportedAtMs.set(backendId, atMs);
  }

  /** Begins anew, because reports may have gone elsewhere until now. */
  restartObservation(nowMs: number): void {
    this.observedSinceMs = nowMs;
  }

  /** Backend servers heard of within a time, with the age of the last report. */
  recentReportAges(withinMs: number, nowMs: number): { backendId: string; ageMs: number }[] {
    const recent: { backendId: string; ageMs: number }[] = [];
    for (const [backendId, atMs] of this.reportedAtMs) {
      const ageMs = Math.max(0, nowMs - atMs);
      if (ageMs <= withinMs) recent.push({ backendId, ageMs });
    }
    return recent;
  }

  /**
   * Registered backend servers that have reported nothing for too long.
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

  /** Forgets backend servers that the registry no longer counts. */
  forgetGone(registry: BackendRegistry): void {
    for (const backendId of this.reportedAtMs.keys()) {
      const state = registry.find(backendId)?.state;
      if (state === undefined || state === 'gone') this.reportedAtMs.delete(backendId);
    }
  }
}
