import type { Random } from '../runtime/hostTypes.js';

/** Largest random deviation of a retry delay, as a fraction of the delay. */
export const retryJitterFraction = 0.25;

/** Adds random jitter, so that callers do not all retry when capacity is expected. */
export function addJitter(retryAfterMs: number, random: Random): number {
  return retryAfterMs * (1 + retryJitterFraction * (2 * random() - 1));
}
