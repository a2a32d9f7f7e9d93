const msPerS = 1000;

/** A token bucket that time fills, for bytes, messages and the like. */
export class RateBudget {
  private tokens: number;

  private filledAtMs: number;

  /**
   * @param perS - tokens that come in a second
   * @param burst - tokens that may be saved up; it starts with as many
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly perS: number,
    private readonly burst: number,
    nowMs: number,
  ) {
    this.tokens = burst;
    this.filledAtMs = nowMs;
  }

  /**
   * Takes tokens out of the budget, if they are there. An amount above what may be saved up is let
   * through once so many have come.
   *
   * @param amount - tokens that are needed
   * @param nowMs - monotonic time
   */
  spend(amount: number, nowMs: number): boolean {
    const passedMs = Math.max(0, nowMs - this.filledAtMs);
    const limit = Math.max(amount, this.burst);
    this.filledAtMs = nowMs;
    this.tokens = Math.min(limit, this.tokens + (this.perS * passedMs) / msPerS);
    if (this.tokens < amount) return false;
    this.tokens -= amount;
    return true;
  }
}
