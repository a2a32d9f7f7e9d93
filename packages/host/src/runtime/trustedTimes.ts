import type { Clock } from './hostTypes.js';

/** Tells which noted times are a measure of age: those since the last break of the clock. */
export class TrustedTimes {
  private brokenAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Pick<Clock, 'nowMs' | 'onBreak'>) {
    clock.onBreak?.((nowMs) => {
      this.brokenAtMs = nowMs;
    });
  }

  /** @param notedAtMs - monotonic time that was noted earlier */
  isTrusted(notedAtMs: number): boolean {
    // Reading the clock notices a break.
    this.clock.nowMs();
    return notedAtMs > this.brokenAtMs;
  }
}
