/** Bounds the lines of a log, so that a flood of one event leaves room for the others. */

const msPerS = 1000;

/** Lines of one event within the present second. */
interface EventCount {
  written: number;
  leftOut: number;
}

/** Lets each event have so many lines a second, and counts the others. */
export class LineBudget {
  private readonly counts = new Map<string, EventCount>();

  private secondStartMs = 0;

  /**
   * @param linesPerS - lines of one event in a second
   * @param report - told at the start of the next second how many lines of an event were left out
   */
  constructor(
    private readonly linesPerS: number,
    private readonly report: (event: string, leftOut: number) => void,
  ) {}

  /**
   * Tells whether one more line of an event may be written.
   *
   * @param event - name of the event
   * @param nowMs - monotonic time
   */
  mayWrite(event: string, nowMs: number): boolean {
    if (nowMs - this.secondStartMs >= msPerS) this.startSecond(nowMs);
    const count = this.counts.get(event) ?? { written: 0, leftOut: 0 };
    this.counts.set(event, count);
    if (count.written >= this.linesPerS) {
      count.leftOut += 1;
      return false;
    }
    count.written += 1;
    return true;
  }

  private startSecond(nowMs: number): void {
    this.secondStartMs = nowMs;
    const before = [...this.counts];
    this.counts.clear();
    for (const [event, { leftOut }] of before) {
      if (leftOut > 0) this.report(event, leftOut);
    }
  }
}
