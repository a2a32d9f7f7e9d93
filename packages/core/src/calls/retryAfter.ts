/** Retry-After field of an answer. */

/** Longest delay that is honoured; a longer one counts as this long. */
export const maxRetryAfterMs = 300_000;
const msPerS = 1000;
const secondsPattern = /^\d+(?:\.\d+)?$/;

/** Wall time of an HTTP date, which names its time zone; NaN if the text is none. */
function parseHttpDateMs(text: string): number {
  return text.endsWith(' GMT') ? Date.parse(text) : Number.NaN;
}

/**
 * Parses a delay in seconds, with or without fractions, or an HTTP date.
 *
 * @param text - value of the header field
 * @param wallMs - current wall time, to which a date is compared
 * @returns the delay, at most `maxRetryAfterMs`; undefined if the value is absent, unreadable or a
 *   time that has passed
 */
export function parseRetryAfterMs(text: string | undefined, wallMs: number): number | undefined {
  const trimmed = text?.trim() ?? '';
  const delayMs = secondsPattern.test(trimmed)
    ? Number(trimmed) * msPerS
    : parseHttpDateMs(trimmed) - wallMs;
  return delayMs > 0 ? Math.min(delayMs, maxRetryAfterMs) : undefined;
}
