import { TokenBucket } from '../rates/tokenBucket.js';

/** Time over which unused bytes accumulate. */
const burstMs = 200;
const msPerS = 1000;

/** Limits the bytes per second in one direction of a link, of which a host has a fixed share. */
export class LinkBudget {
  private readonly budget: TokenBucket;

  /** @param bytesPerS - share of the link limit that this host may use */
  constructor(
    readonly bytesPerS: number,
    nowMs: number,
  ) {
    this.budget = new TokenBucket(bytesPerS, (bytesPerS * burstMs) / msPerS, nowMs);
  }

  /**
   * Takes bytes out of the budget if enough are left.
   *
   * @param bytes - expected size of the call and its answer in this direction
   */
  trySpend(bytes: number, nowMs: number): boolean {
    return this.budget.tryConsume(bytes, nowMs);
  }
}
