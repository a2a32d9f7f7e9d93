/**
 * Paces the looks at waiting calls. In a flood on a large deployment dozens of calls wait, a look at them
 * takes milliseconds, and each answer and each tick asks for one: without a bound the looks take all the
 * processor time that an entry host has, and its calls are sent on a second late.
 */

/**
 * Share of the time that looks may take. A slot that is free for ten times the length of a look is
 * little against the time of an answer.
 */
const maxScanShare = 0.1;

/** Keeps looks at waiting calls to a share of the time. */
export class QueueScanPacer {
  private nextAtMs = Number.NEGATIVE_INFINITY;

  /** Time until the next look may start, in milliseconds; 0 where it may start now. */
  delayMs(nowMs: number): number {
    return Math.max(0, this.nextAtMs - nowMs);
  }

  /** Takes note of a look. */
  recordScan(startedAtMs: number, endedAtMs: number): void {
    this.nextAtMs = endedAtMs + (endedAtMs - startedAtMs) * (1 / maxScanShare - 1);
  }
}
