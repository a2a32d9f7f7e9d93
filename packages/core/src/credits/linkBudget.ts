import { TokenBucket } from '../rates/tokenBucket.js';

/** Limit in bytes per second on one direction of a link; a host has its fixed part of it. */

/** Time over which unused bytes are kept. */
const burstMs = 200;
const msPerS = 1000;

/** A token bucket of bytes. */
export class LinkBudget {
  private readonly budget: TokenBucket;

  /**
   * @param bytesPerS - part of the link limit that this host may use
   * @param nowMs - current time
   */
  constructor(
    readonly bytesPerS: number,
    nowMs: number,
  ) {
    this.budget = new TokenBucket(bytesPerS, (bytesPerS * burstMs) / msPerS, nowMs);
  }

  /**
   * Takes bytes out of the budget, if they are there.
   *
   * @param bytes - expected size of the call and its answer in this direction
   * @param nowMs - current time
   */
  trySpend(bytes: number, nowMs: number): boolean {
    return this.budget.tryConsume(bytes, nowMs);
  }
}
