/** A zone's share of the cap: calls that may be admitted in any window of the given length. */
export interface ShiftQuota {
  readonly maxCalls: number;
  readonly windowMs: number;
}

const windowMs = 1000;

/**
 * Computes the fixed quota of one zone. The quotas of all zones of a region never add up to more
 * than the cap of the region.
 *
 * @param maxShiftedCallsPerS - cap of the region
 * @param zones - availability zones of the region
 * @param zone - zone that the quota is for; a zone outside the region gets no calls
 */
export function computeZoneQuota(
  maxShiftedCallsPerS: number,
  zones: readonly string[],
  zone: string,
): ShiftQuota {
  const index = [...zones].sort().indexOf(zone);
  if (index < 0) return { maxCalls: 0, windowMs };
  if (maxShiftedCallsPerS < 1) {
    return { maxCalls: index === 0 ? 1 : 0, windowMs: windowMs / maxShiftedCallsPerS };
  }
  const cap = Math.floor(maxShiftedCallsPerS);
  const extra = index < cap % zones.length ? 1 : 0;
  return { maxCalls: Math.floor(cap / zones.length) + extra, windowMs };
}
