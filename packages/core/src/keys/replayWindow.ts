/** Largest accepted difference between the clocks of two hosts, including the network delay. */
export const replayWindowMs = 120_000;
/** Capacity of each of the two halves in which requests are remembered. */
const maxRequestsPerHalf = 50_000;

/**
 * Remembers the requests of the last minutes, so that none is accepted twice. Memory is bounded: if
 * more requests arrive than fit, the older half is dropped early.
 */
export class ReplayWindow {
  private current = new Set<string>();

  private previous = new Set<string>();

  private rotatedAtMs = 0;

  /**
   * Accepts a request once, and only if it was sent within `replayWindowMs` of the present.
   *
   * @param id - sender and nonce
   * @param sentAtMs - wall time at the sender
   * @param nowMs - wall time at this host
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
