import type { ShiftQuota } from './shiftQuota.js';

/** Longest gap between two observations that does not count as a pause of the process. */
export const maxObservationGapMs = 250;
/** Shortest pause during which another host can have taken over the pool. */
const minTakeoverPauseMs = 1000;
/** Delay of a larger quota, so that other zones have applied their smaller ones by then. */
const quotaIncreaseDelayMs = 10_000;
/** Number of expired times at which the list is compacted. */
const compactionLength = 1024;

/**
 * Sliding-window rate limiter for shifted calls: any window of `windowMs` contains at most `maxCalls`
 * admitted calls. The limiter starts closed for at least one window and closes again after a pause
 * of the process, so that calls admitted by a former pool owner or before the pause have left the
 * window.
 */
export class ShiftLimiter {
  /** Times of admitted calls, oldest first; those from index `firstInWindow` on are in the window. */
  private admittedAtMs: number[] = [];

  private firstInWindow = 0;

  private closedUntilMs: number;

  private observedAtMs: number;

  private pendingIncrease: { quota: ShiftQuota; atMs: number } | undefined;

  /**
   * @param quota - calls and window
   * @param nowMs - monotonic time
   * @param minClosedMs - shortest time for which the limiter stays closed at the start and after a
   * pause during which another host can have taken over the pool
   * @param delayVariationMs - largest difference between the delays of two calls in transit; it
   * lengthens the window, so that calls of different windows are still apart when they arrive
   */
  constructor(
    private quota: ShiftQuota,
    nowMs: number,
    private readonly minClosedMs = 0,
    private readonly delayVariationMs = 0,
  ) {
    this.closedUntilMs = nowMs + this.takeoverCloseMs();
    this.observedAtMs = nowMs;
  }

  /** Detects pauses of the process; must be called more often than every 250 ms while it runs. */
  observe(nowMs: number): void {
    const gapMs = nowMs - this.observedAtMs;
    if (gapMs >= minTakeoverPauseMs) this.closeFor(nowMs, this.takeoverCloseMs());
    else if (gapMs > maxObservationGapMs)
      this.closeFor(nowMs, this.quota.windowMs + this.delayVariationMs);
    this.observedAtMs = nowMs;
    this.applyPendingIncrease(nowMs);
  }

  /**
   * Marks the time since the last observation as free of pauses.
   *
   * @param untilMs - monotonic time up to which the process is known to have run
   */
  markRunningUntil(untilMs: number): void {
    if (untilMs <= this.observedAtMs) return;
    this.observedAtMs = untilMs;
    this.applyPendingIncrease(untilMs);
  }

  /** Sets the quota: a smaller one applies at once, a larger one after a delay. */
  change(quota: ShiftQuota, nowMs: number): void {
    const isSame = quota.maxCalls === this.quota.maxCalls && quota.windowMs === this.quota.windowMs;
    const isSmaller =
      quota.maxCalls <= this.quota.maxCalls && quota.windowMs >= this.quota.windowMs;
    if (isSmaller || isSame) {
      this.quota = quota;
      this.pendingIncrease = undefined;
      return;
    }
    const wanted = this.pendingIncrease?.quota;
    if (wanted?.maxCalls === quota.maxCalls && wanted.windowMs === quota.windowMs) return;
    this.pendingIncrease = { quota, atMs: nowMs + quotaIncreaseDelayMs };
  }

  /** Returns whether a call is admitted; an admitted call uses up quota. */
  admit(nowMs: number): boolean {
    this.observe(nowMs);
    if (nowMs <= this.closedUntilMs) return false;
    this.dropExpired(nowMs - this.quota.windowMs - this.delayVariationMs);
    if (this.admittedAtMs.length - this.firstInWindow >= this.quota.maxCalls) return false;
    this.admittedAtMs.push(nowMs);
    return true;
  }

  /** Time after which a call may be admitted again, in milliseconds. */
  retryAfterMs(nowMs: number): number {
    const oldest = this.admittedAtMs[this.firstInWindow];
    const freeAtMs =
      oldest === undefined ? nowMs : oldest + this.quota.windowMs + this.delayVariationMs;
    return Math.max(1, Math.ceil(Math.max(freeAtMs, this.closedUntilMs) - nowMs));
  }

  private applyPendingIncrease(nowMs: number): void {
    if (this.pendingIncrease === undefined || nowMs < this.pendingIncrease.atMs) return;
    this.quota = this.pendingIncrease.quota;
    this.pendingIncrease = undefined;
  }

  private closeFor(nowMs: number, durationMs: number): void {
    this.closedUntilMs = Math.max(this.closedUntilMs, nowMs + durationMs);
  }

  private takeoverCloseMs(): number {
    return Math.max(this.minClosedMs, this.quota.windowMs + this.delayVariationMs);
  }

  private dropExpired(windowStartMs: number): void {
    while ((this.admittedAtMs[this.firstInWindow] ?? windowStartMs) < windowStartMs)
      this.firstInWindow += 1;
    if (this.firstInWindow < compactionLength) return;
    this.admittedAtMs = this.admittedAtMs.slice(this.firstInWindow);
    this.firstInWindow = 0;
  }
}
