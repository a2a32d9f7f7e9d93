import type { BackendRegistry } from '@buckthornlug/core/registry/backendRegistry.js';

/** Finds backend servers that report no more. */

/** Reports that may fail to come before a backend server counts as silent. */
const missedReports = 4;

/** Notes when backend servers were last heard of, over all control hosts. */
export class HeardBackends {
  private readonly heardAtMs = new Map<string, number>();

  /** Start of the time in which this host has heard of all backend servers. */
  private sinceMs: number;

  /**
   * @param reportIntervalMs - interval of the reports of a backend server
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly reportIntervalMs: number,
    nowMs: number,
  ) {
    this.sinceMs = nowMs;
  }

  /** Notes a report of a backend server. */
  note(backendId: string, atMs: number): void {
    const before = this.heardAtMs.get(backendId) ?? Number.NEGATIVE_INFINITY;
    if (atMs > before) this.heardAtMs.set(backendId, atMs);
  }

  /** Begins anew, because reports may have gone elsewhere until now. */
  startOver(nowMs: number): void {
    this.sinceMs = nowMs;
  }

  /** Backend servers heard of within a time, with the age of the last report. */
  recent(withinMs: number, nowMs: number): { backendId: string; ageMs: number }[] {
    const recent: { backendId: string; ageMs: number }[] = [];
    for (const [backendId, atMs] of this.heardAtMs) {
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
    const limitMs = this.reportIntervalMs * missedReports;
    const silent: { backendId: string; bornAtMs: number }[] = [];
    for (const { backendId, bornAtMs, state } of registry.changedSince(0)) {
      if (state === 'gone' || state === 'silent') continue;
      const heardAtMs = Math.max(this.sinceMs, this.heardAtMs.get(backendId) ?? 0);
      if (nowMs - heardAtMs > limitMs) silent.push({ backendId, bornAtMs });
    }
    return silent;
  }

  /** Forgets backend servers that the registry no longer counts. */
  forget(registry: BackendRegistry): void {
    for (const backendId of this.heardAtMs.keys()) {
      const state = registry.find(backendId)?.state;
      if (state === undefined || state === 'gone') this.heardAtMs.delete(backendId);
    }
  }
}
