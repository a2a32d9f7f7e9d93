/**
 * Limits the time spent on scans of waiting calls. In a flood on a large deployment dozens of calls
 * wait, a scan of them takes milliseconds, and each answer and each timer tick requests one. Without a
 * limit the scans take all processor time of an entry host, and its calls are sent a second late.
 */

/**
 * Share of the time that scans may take. A free slot then waits for up to ten times the length of a
 * scan, which is short compared with an answer time.
 */
const maxScanShare = 0.1;

/** Limits scans of waiting calls to a share of the time. */
export class QueueScanPacer {
  private nextAtMs = Number.NEGATIVE_INFINITY;

  /** Time until the next scan may start; 0 if it may start now. */
  delayMs(nowMs: number): number {
    return Math.max(0, this.nextAtMs - nowMs);
  }

  recordScan(startedAtMs: number, endedAtMs: number): void {
    this.nextAtMs = endedAtMs + (endedAtMs - startedAtMs) * (1 / maxScanShare - 1);
  }
}
