import type { BackendSlots } from './backendSlots.js';
import { maxEjected, type OutlierLimits } from './outliers.js';

/** Median of the mean answer times of the other backend servers that have enough answers. */
function medianPeerTimeMs(
  backends: readonly BackendSlots[],
  self: BackendSlots,
): number | undefined {
  const meansMs: number[] = [];
  for (const backend of backends) {
    if (backend !== self && backend.answers.hasEnoughAnswers) meansMs.push(backend.answers.meanMs);
  }
  if (meansMs.length === 0) return undefined;
  meansMs.sort((a, b) => a - b);
  return meansMs[Math.floor(meansMs.length / 2)];
}

/**
 * Ejects a backend server if its outcomes make it an outlier, unless too few would remain.
 *
 * @param backends - backend servers of the pool
 * @param backend - backend server whose call has just ended
 * @param limits - thresholds of the detection
 * @returns whether it was ejected
 */
export function ejectOutlier(
  backends: readonly BackendSlots[],
  backend: BackendSlots,
  limits: OutlierLimits,
  nowMs: number,
): boolean {
  if (backend.standing(nowMs) === 'ejected') return false;
  if (!backend.answers.isOutlier(medianPeerTimeMs(backends, backend))) return false;
  let unavailable = 0;
  for (const other of backends) {
    if (other !== backend && other.standing(nowMs) !== 'in') unavailable += 1;
  }
  if (unavailable >= maxEjected(backends.length, limits)) return false;
  backend.answers.eject(nowMs);
  return true;
}
