/** Counts the objects that calls were about lately. */

/** Length of a period; the objects of the present and the last one count. */
const periodMs = 4000;

/** Objects of the calls of one service. */
export class SeenObjects {
  private present = new Set<string>();

  private last = new Set<string>();

  private periodStartMs = 0;

  /** Takes note of a call about an object. */
  note(key: string, nowMs: number): void {
    if (nowMs - this.periodStartMs >= periodMs) {
      this.last = this.present;
      this.present = new Set();
      this.periodStartMs = nowMs;
    }
    this.present.add(key);
  }

  /** Objects seen within the last period or two. */
  count(): number {
    return Math.max(this.present.size, this.last.size);
  }
}
