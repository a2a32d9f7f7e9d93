/** Limit in bytes per second on one direction of a link; a host has its fixed part of it. */

/** Time over which unused bytes are kept. */
const burstMs = 200;
const msPerS = 1000;

/** A token bucket of bytes. */
export class LinkBudget {
  private tokensBytes: number;

  private filledAtMs: number;

  /**
   * @param bytesPerS - part of the link limit that this host may use
   * @param nowMs - current time
   */
  constructor(
    readonly bytesPerS: number,
    nowMs: number,
  ) {
    this.tokensBytes = (bytesPerS * burstMs) / msPerS;
    this.filledAtMs = nowMs;
  }

  /**
   * Takes bytes out of the budget, if they are there.
   *
   * @param bytes - expected size of the call and its answer in this direction
   * @param nowMs - current time
   */
  spend(bytes: number, nowMs: number): boolean {
    const passedMs = Math.max(0, nowMs - this.filledAtMs);
    const limit = Math.max(bytes, (this.bytesPerS * burstMs) / msPerS);
    this.filledAtMs = nowMs;
    this.tokensBytes = Math.min(limit, this.tokensBytes + (this.bytesPerS * passedMs) / msPerS);
    if (this.tokensBytes < bytes) return false;
    this.tokensBytes -= bytes;
    return true;
  }
}
