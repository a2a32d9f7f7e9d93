/** Counts the objects that calls were about lately. */

/** Length of a period; the objects of the present and the last one count. */
const periodMs = 4000;

/** Objects of the calls of one service. */
export class ActiveObjects {
  private currentKeys = new Set<string>();

  private previousKeys = new Set<string>();

  private periodStartMs = 0;

  /** Takes note of a call about an object. */
  record(key: string, nowMs: number): void {
    if (nowMs - this.periodStartMs >= periodMs) {
      this.previousKeys = this.currentKeys;
      this.currentKeys = new Set();
      this.periodStartMs = nowMs;
    }
    this.currentKeys.add(key);
  }

  /** Objects seen within the last period or two. */
  count(): number {
    return Math.max(this.currentKeys.size, this.previousKeys.size);
  }
}
