import type { HybridTime } from '@buckthornlug/protocol/events/eventSchema.js';

/** Largest lead of a remote clock that is followed; later readings are cut to it. */
export const maxClockLeadMs = 60_000;

/**
 * Orders two readings of hybrid logical clocks.
 *
 * @param left - first reading
 * @param right - second reading
 * @returns a negative number where the first is earlier, zero where both are equal
 */
export function compareHybridTime(left: HybridTime, right: HybridTime): number {
  if (left.wallMs !== right.wallMs) return left.wallMs - right.wallMs;
  return left.counter - right.counter;
}

/**
 * Reads the clock for a local event: later than every reading before.
 *
 * @param last - last reading of this clock
 * @param wallMs - wall time now, in milliseconds
 */
export function tickHybridClock(last: HybridTime, wallMs: number): HybridTime {
  if (wallMs > last.wallMs) return { wallMs, counter: 0 };
  return { wallMs: last.wallMs, counter: last.counter + 1 };
}

/**
 * Moves the clock past a reading that came with a message, so that what follows the message is later
 * than what came before it. A remote clock far ahead of the wall time is followed only so far.
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

/**
 * Writes a reading as text for a header field.
 *
 * @param time - reading
 */
export function formatHybridTime(time: HybridTime): string {
  return `${time.wallMs}.${time.counter}`;
}

/**
 * Reads the text of a header field.
 *
 * @param text - text as `formatHybridTime` writes it
 * @returns the reading, or undefined where the text is none
 */
export function parseHybridTime(text: string): HybridTime | undefined {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text);
  if (match === null) return undefined;
  return { wallMs: Number(match[1]), counter: Number(match[2]) };
}
