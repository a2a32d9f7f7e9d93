/** Counts the distinct objects of recent calls. */

/** Length of a period; objects of the current and the previous period count as recent. */
const periodMs = 4000;

/** Distinct objects of the recent calls of one service. */
export class ActiveObjects {
  private currentKeys = new Set<string>();

  private previousKeys = new Set<string>();

  private periodStartMs = 0;

  /** Records the object of a call. */
  record(key: string, nowMs: number): void {
    if (nowMs - this.periodStartMs >= periodMs) {
      this.previousKeys = this.currentKeys;
      this.currentKeys = new Set();
      this.periodStartMs = nowMs;
    }
    this.currentKeys.add(key);
  }

  /** Distinct objects of the current or the previous period, whichever has more. */
  count(): number {
    return Math.max(this.currentKeys.size, this.previousKeys.size);
  }
}
