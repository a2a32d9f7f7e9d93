/** Keep-Alive field of an answer. */

/** Longest announced idle time that is used; a longer one counts as this long. */
export const maxIdleTimeoutMs = 600_000;
const msPerS = 1000;
const timeoutPattern = /timeout=(\d+)/;

/**
 * Parses the time after which a server closes an idle connection.
 *
 * @param text - value of the header field, which may have any number of digits
 * @returns the time, at most `maxIdleTimeoutMs`; undefined if the field is absent or names none
 */
export function parseIdleTimeoutMs(text: string | undefined): number | undefined {
  const seconds = timeoutPattern.exec(text ?? '')?.[1];
  if (seconds === undefined) return undefined;
  return Math.min(Number(seconds) * msPerS, maxIdleTimeoutMs);
}
