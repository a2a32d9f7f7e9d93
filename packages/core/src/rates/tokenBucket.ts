const msPerS = 1000;

/** A token bucket that refills over time, for bytes, messages and the like. */
export class TokenBucket {
  private tokens: number;

  private refilledAtMs: number;

  /**
   * @param refillPerS - tokens added per second
   * @param burst - capacity in tokens; the bucket starts full
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
   * Consumes tokens if there are enough of them. For an amount above the capacity, tokens accumulate
   * up to that amount.
   *
   * @param amount - tokens needed
   * @param nowMs - monotonic time
   * @returns whether the tokens were consumed
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
