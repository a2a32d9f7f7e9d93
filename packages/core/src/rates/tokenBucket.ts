const msPerS = 1000;

/** A token bucket that time fills, for bytes, messages and the like. */
export class TokenBucket {
  private tokens: number;

  private refilledAtMs: number;

  /**
   * @param refillPerS - tokens that come in a second
   * @param burst - tokens that may be saved up; it starts with as many
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly refillPerS: number,
    private readonly burst: number,
    nowMs: number,
  ) {
    this.tokens = burst;
    this.refilledAtMs = nowMs;
  }

  /**
   * Takes tokens out of the budget, if they are there. An amount above what may be saved up is let
   * through once so many have come.
   *
   * @param amount - tokens that are needed
   * @param nowMs - monotonic time
   */
  tryConsume(amount: number, nowMs: number): boolean {
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    const capacity = Math.max(amount, this.burst);
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(capacity, this.tokens + (this.refillPerS * elapsedMs) / msPerS);
    if (this.tokens < amount) return false;
    this.tokens -= amount;
    return true;
  }
}
