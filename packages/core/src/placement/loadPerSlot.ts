import type { Distance, TrackedBackend } from './trackedBackend.js';

/**
 * Calls per slot that are assumed of a backend server without a recent report. Where there are many,
 * a host hears from any single one only every few seconds.
 */

/** Load per slot that is assumed at a distance until backend servers there have reported. */
const initialLoadPerSlot: Readonly<Record<Distance, number>> = { zone: 0, region: 0.5, far: 0.5 };
/**
 * Factor on the load per slot for each second without a recent report. Backend servers that get no
 * calls empty, and their last known load must not keep turning away the calls that would show it.
 */
const unreportedDecay = 0.5;
const updateIntervalMs = 1000;

/** Mean of the reported calls per slot; undefined if no backend server has reported recently. */
function reportedLoadPerSlot(
  backends: readonly TrackedBackend[],
  nowMs: number,
): number | undefined {
  let load = 0;
  let slots = 0;
  for (const backend of backends) {
    const reported = backend.reportedLoad(nowMs);
    if (reported === undefined) continue;
    load += reported;
    slots += backend.record.slots;
  }
  return slots === 0 ? undefined : load / slots;
}

/** Calls per slot by distance from this host: one value for its region, one for all others. */
export class LoadPerSlot {
  private byDistance = initialLoadPerSlot;

  private updatedAtMs = Number.NEGATIVE_INFINITY;

  at(distance: Distance): number {
    return this.byDistance[distance];
  }

  /** Updates the values from the reports, at most once a second. */
  update(backends: readonly TrackedBackend[], nowMs: number): void {
    if (nowMs - this.updatedAtMs < updateIntervalMs) return;
    this.updatedAtMs = nowMs;
    const inRegion = backends.filter(({ distance }) => distance !== 'far');
    const elsewhere = backends.filter(({ distance }) => distance === 'far');
    const { region, far } = this.byDistance;
    const near = reportedLoadPerSlot(inRegion, nowMs) ?? region * unreportedDecay;
    this.byDistance = {
      zone: near,
      region: near,
      far: reportedLoadPerSlot(elsewhere, nowMs) ?? far * unreportedDecay,
    };
  }
}
