/** Greatest difference between the clocks of two hosts, delay included. */
export const replayWindowMs = 120_000;
/** Requests remembered in one half of the window. */
const maxRequestsPerHalf = 50_000;

/**
 * Remembers the requests of the last minutes, so that none is taken twice. Memory is bounded: when
 * more requests come than fit, the oldest half is forgotten early.
 */
export class ReplayWindow {
  private current = new Set<string>();

  private previous = new Set<string>();

  private rotatedAtMs = 0;

  /**
   * Accepts a request once.
   *
   * @param id - sender and nonce
   * @param sentAtMs - wall time of the sender
   * @param nowMs - wall time
   */
  accept(id: string, sentAtMs: number, nowMs: number): boolean {
    if (Math.abs(nowMs - sentAtMs) > replayWindowMs) return false;
    this.rotate(nowMs);
    if (this.current.has(id) || this.previous.has(id)) return false;
    this.current.add(id);
    return true;
  }

  private rotate(nowMs: number): void {
    const isFull = this.current.size >= maxRequestsPerHalf;
    if (!isFull && nowMs - this.rotatedAtMs < 2 * replayWindowMs) return;
    this.previous = this.current;
    this.current = new Set();
    this.rotatedAtMs = nowMs;
  }
}
