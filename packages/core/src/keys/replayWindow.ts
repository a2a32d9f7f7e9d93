/** Greatest difference between the clocks of two hosts, delay included. */
export const replayWindowMs = 120_000;
/** Requests remembered in one half of the window. */
const maxRemembered = 50_000;

/**
 * Remembers the requests of the last minutes, so that none is taken twice. Memory is bounded: when
 * more requests come than fit, the oldest half is forgotten early.
 */
export class ReplayWindow {
  private current = new Set<string>();

  private previous = new Set<string>();

  private turnedAtMs = 0;

  /**
   * Accepts a request once.
   *
   * @param id - sender and nonce
   * @param sentAtMs - wall time of the sender
   * @param nowMs - wall time
   */
  accept(id: string, sentAtMs: number, nowMs: number): boolean {
    if (Math.abs(nowMs - sentAtMs) > replayWindowMs) return false;
    this.turn(nowMs);
    if (this.current.has(id) || this.previous.has(id)) return false;
    this.current.add(id);
    return true;
  }

  private turn(nowMs: number): void {
    const isFull = this.current.size >= maxRemembered;
    if (!isFull && nowMs - this.turnedAtMs < 2 * replayWindowMs) return;
    this.previous = this.current;
    this.current = new Set();
    this.turnedAtMs = nowMs;
  }
}
