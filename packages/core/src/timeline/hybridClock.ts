import type { HybridTime } from '@buckthornlug/protocol/events/eventSchema.js';

/** Largest lead of a remote clock over the local wall time; readings further ahead are capped. */
export const maxClockLeadMs = 60_000;

/**
 * Orders two readings of hybrid logical clocks.
 *
 * @returns a negative number if `left` is earlier, zero if both are equal
 */
export function compareHybridTime(left: HybridTime, right: HybridTime): number {
  if (left.wallMs !== right.wallMs) return left.wallMs - right.wallMs;
  return left.counter - right.counter;
}

/**
 * Advances the clock for a local event; the result is later than every earlier reading.
 *
 * @param last - last reading of this clock
 * @param wallMs - wall time now, in milliseconds
 */
export function tickHybridClock(last: HybridTime, wallMs: number): HybridTime {
  if (wallMs > last.wallMs) return { wallMs, counter: 0 };
  return { wallMs: last.wallMs, counter: last.counter + 1 };
}

/**
 * Advances the clock past a reading received with a message, so that events after the message are
 * later than events before it. The lead of a remote clock is capped at `maxClockLeadMs`.
 *
 * @param last - last reading of this clock
 * @param remote - reading of the sender
 * @param wallMs - wall time now, in milliseconds
 */
export function observeHybridTime(
  last: HybridTime,
  remote: HybridTime,
  wallMs: number,
): HybridTime {
  const latestWallMs = wallMs + maxClockLeadMs;
  const bounded = remote.wallMs > latestWallMs ? { wallMs: latestWallMs, counter: 0 } : remote;
  const later = compareHybridTime(last, bounded) >= 0 ? last : bounded;
  return tickHybridClock(later, wallMs);
}

/** Formats a reading for a header field. */
export function formatHybridTime(time: HybridTime): string {
  return `${time.wallMs}.${time.counter}`;
}

/**
 * Parses a reading from a header field.
 *
 * @param text - text in the format of `formatHybridTime`
 * @returns the reading, or undefined if the text is malformed
 */
export function parseHybridTime(text: string): HybridTime | undefined {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text);
  if (match === null) return undefined;
  return { wallMs: Number(match[1]), counter: Number(match[2]) };
}
