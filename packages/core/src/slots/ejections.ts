import type { BackendSlots } from './backendSlots.js';
import { maxEjected, type OutlierLimits } from './outliers.js';

/** Middle value of the usual answer times of the other backend servers of the pool. */
function medianOfPeers(backends: readonly BackendSlots[], self: BackendSlots): number | undefined {
  const usual: number[] = [];
  for (const backend of backends) {
    if (backend !== self && backend.answers.isKnown) usual.push(backend.answers.usualMs);
  }
  if (usual.length === 0) return undefined;
  usual.sort((a, b) => a - b);
  return usual[Math.floor(usual.length / 2)];
}

/**
 * Ejects a backend server whose answers make it an outlier, unless too few would remain.
 *
 * @param backends - backend servers of the pool
 * @param backend - the one whose answer just came
 * @param limits - bounds of the detection
 * @param nowMs - current time
 * @returns whether it was ejected
 */
export function ejectOutlier(
  backends: readonly BackendSlots[],
  backend: BackendSlots,
  limits: OutlierLimits,
  nowMs: number,
): boolean {
  if (backend.standing(nowMs) === 'ejected') return false;
  if (!backend.answers.isOutlier(medianOfPeers(backends, backend))) return false;
  let out = 0;
  for (const other of backends) {
    if (other !== backend && other.standing(nowMs) !== 'in') out += 1;
  }
  if (out >= maxEjected(backends.length, limits)) return false;
  backend.answers.eject(nowMs);
  return true;
}
