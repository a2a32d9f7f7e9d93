/** Counts the recent calls and their distinct objects. */

/** Length of a period; objects of the current and the previous period count as recent. */
const periodMs = 4000;
const msPerS = 1000;

/** Distinct objects of the recent calls of one service. */
export class ActiveObjects {
  private currentKeys = new Set<string>();

  private previousKeys = new Set<string>();

  private currentCalls = 0;

  private previousCalls = 0;

  private periodStartMs = 0;

  /** Records the object of a call. */
  record(key: string, nowMs: number): void {
    if (nowMs - this.periodStartMs >= periodMs) {
      this.previousKeys = this.currentKeys;
      this.currentKeys = new Set();
      this.previousCalls = this.currentCalls;
      this.currentCalls = 0;
      this.periodStartMs = nowMs;
    }
    this.currentKeys.add(key);
    this.currentCalls += 1;
  }

  /** Distinct objects of the current or the previous period, whichever has more. */
  count(): number {
    return Math.max(this.currentKeys.size, this.previousKeys.size);
  }

  /** Calls a second and object, in the current or the previous period, whichever has more. */
  callsPerObjectAndS(): number {
    const calls = Math.max(this.currentCalls, this.previousCalls);
    return (calls * msPerS) / (periodMs * Math.max(1, this.count()));
  }
}
