/** Bounds how fast the share of a region's calls that run in other regions changes. */

/** Length of a window; the cap is stated per window of this length. */
const windowMs = 2000;
/** Part of the cap that one host uses, since the shares of hosts differ and windows slide. */
const usedShareOfCap = 0.4;
/** Calls of a window below which a share says nothing. */
const fewCalls = 10;

/** Counts the calls of one service by where they ran, and admits moves under the cap. */
export class RegionSpill {
  private windowStartMs: number;

  private calls = 0;

  private moved = 0;

  private formerShare = 0;

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
  mayMove(nowMs: number): boolean {
    this.roll(nowMs);
    const allowed = this.formerShare + this.maxShift * usedShareOfCap;
    return this.moved + 1 <= allowed * Math.max(fewCalls, this.calls + 1);
  }

  /** Takes note of a call and where it runs. */
  note(isMoved: boolean, nowMs: number): void {
    this.roll(nowMs);
    this.calls += 1;
    if (isMoved) this.moved += 1;
  }

  private roll(nowMs: number): void {
    if (nowMs - this.windowStartMs < windowMs) return;
    const isNext = nowMs - this.windowStartMs < 2 * windowMs;
    this.formerShare = isNext && this.calls > 0 ? this.moved / Math.max(fewCalls, this.calls) : 0;
    this.windowStartMs = nowMs;
    this.calls = 0;
    this.moved = 0;
  }
}
