/** Bounds how fast the share of a region's calls that run in other regions changes. */

/** Length of a window; the cap is stated per window of this length. */
const windowMs = 2000;
/** Part of the cap that one host uses, since the shares of hosts differ and windows slide. */
const usedCapShare = 0.4;
/** Calls of a window below which a share says nothing. */
const minCalls = 10;

/** Counts the calls of one service by where they ran, and admits moves under the cap. */
export class RegionSpillover {
  private windowStartMs: number;

  private calls = 0;

  private spilled = 0;

  private previousShare = 0;

  /**
   * @param maxShift - largest change of the share from one window to the next, 0 to 1
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly maxShift: number,
    nowMs: number,
  ) {
    this.windowStartMs = nowMs;
  }

  /** Whether one more call may run in another region. */
  maySpill(nowMs: number): boolean {
    this.rollWindow(nowMs);
    const allowed = this.previousShare + this.maxShift * usedCapShare;
    return this.spilled + 1 <= allowed * Math.max(minCalls, this.calls + 1);
  }

  /** Takes note of a call and where it runs. */
  record(isSpilled: boolean, nowMs: number): void {
    this.rollWindow(nowMs);
    this.calls += 1;
    if (isSpilled) this.spilled += 1;
  }

  private rollWindow(nowMs: number): void {
    if (nowMs - this.windowStartMs < windowMs) return;
    const isNext = nowMs - this.windowStartMs < 2 * windowMs;
    this.previousShare =
      isNext && this.calls > 0 ? this.spilled / Math.max(minCalls, this.calls) : 0;
    this.windowStartMs = nowMs;
    this.calls = 0;
    this.spilled = 0;
  }
}
