/** Limits the log lines per event, so that a flood of one event does not crowd out the others. */

const msPerS = 1000;

/** Lines of one event in the current second. */
interface EventCount {
  written: number;
  suppressed: number;
}

/** Allows a number of lines per event and second, and counts the lines that it suppresses. */
export class EventRateLimiter {
  private readonly counts = new Map<string, EventCount>();

  private secondStartMs = 0;

  /**
   * @param linesPerS - maximum number of lines per event in one second
   * @param report - called in the next second with the number of suppressed lines of an event
   */
  constructor(
    private readonly linesPerS: number,
    private readonly report: (event: string, suppressed: number) => void,
  ) {}

  /**
   * Counts a line of an event and returns whether it may be written.
   *
   * @param event - name of the event
   * @param nowMs - monotonic time
   */
  tryAcquire(event: string, nowMs: number): boolean {
    if (nowMs - this.secondStartMs >= msPerS) this.startSecond(nowMs);
    const count = this.counts.get(event) ?? { written: 0, suppressed: 0 };
    this.counts.set(event, count);
    if (count.written >= this.linesPerS) {
      count.suppressed += 1;
      return false;
    }
    count.written += 1;
    return true;
  }

  private startSecond(nowMs: number): void {
    this.secondStartMs = nowMs;
    const previousCounts = [...this.counts];
    this.counts.clear();
    for (const [event, { suppressed }] of previousCounts) {
      if (suppressed > 0) this.report(event, suppressed);
    }
  }
}
