import { setTimeout as delay } from 'node:timers/promises';

const pollMs = 10;
const defaultLimitMs = 15_000;

/**
 * Waits until a condition holds.
 *
 * @param holds - condition, asked again and again
 * @param limitMs - longest wait
 * @returns the time it took in milliseconds; infinity after the limit
 */
export async function timeUntil(
  holds: () => boolean | Promise<boolean>,
  limitMs = defaultLimitMs,
): Promise<number> {
  const startMs = performance.now();
  while (!(await holds())) {
    if (performance.now() - startMs > limitMs) return Infinity;
    await delay(pollMs);
  }
  return performance.now() - startMs;
}
