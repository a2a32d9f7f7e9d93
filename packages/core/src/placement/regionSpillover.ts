/** Limits how fast the share of a region's calls that run in other regions changes. */

/** Length of a window; the shift cap applies to windows of this length. */
const windowMs = 2000;
/** Part of the shift cap that one host uses, since the shares of hosts differ and windows slide. */
const usedCapShare = 0.4;
/** Smallest number of calls by which the share of a window is computed. */
const minCalls = 10;

/** Counts where the calls of one service run, and allows spillover within the shift cap. */
export class RegionSpillover {
  private windowStartMs: number;

  private calls = 0;

  private spilled = 0;

  private previousShare = 0;

  /**
   * @param maxShift - shift cap: largest change of the share from one window to the next, 0 to 1
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

  /** Records a call, and whether it runs in another region. */
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
