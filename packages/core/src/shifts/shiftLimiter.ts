import type { ShiftQuota } from './shiftQuota.js';

/** A longer gap between two observations counts as a pause of the process. */
export const maxObservationGapMs = 250;
/** Shortest pause in which another host can have taken the pool over. */
const minTakeoverPauseMs = 1000;
/** Time for which a larger part waits, so that other zones have taken up their smaller ones. */
const quotaIncreaseDelayMs = 10_000;
/** Old times that are kept before the list is shortened. */
const compactionLength = 1024;

/**
 * Admits shifted calls so that no window of the part's length holds more than its calls. It starts
 * closed for at least one window, and closes again after a pause of the process, so that calls
 * admitted by a former pool owner or before the pause are counted out.
 */
export class ShiftLimiter {
  /** Times of admitted calls, the oldest first, from `firstInside` on those inside the window. */
  private admittedAtMs: number[] = [];

  private firstInWindow = 0;

  private closedUntilMs: number;

  private observedAtMs: number;

  private pendingIncrease: { quota: ShiftQuota; atMs: number } | undefined;

  /**
   * @param quota - calls and window
   * @param nowMs - monotonic time
   * @param minClosedMs - shortest time for which it stays closed at the start and after a pause in which
   * another host can have taken the pool over
   * @param delayVariationMs - largest difference between the delays of two calls on their way; calls that
   * are admitted further apart than the window stay apart when they arrive
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

  /** Tells the limiter that the process runs; to be called more often than each 250 ms. */
  observe(nowMs: number): void {
    const gapMs = nowMs - this.observedAtMs;
    if (gapMs >= minTakeoverPauseMs) this.closeFor(nowMs, this.takeoverCloseMs());
    else if (gapMs > maxObservationGapMs)
      this.closeFor(nowMs, this.quota.windowMs + this.delayVariationMs);
    this.observedAtMs = nowMs;
    this.applyPendingIncrease(nowMs);
  }

  /**
   * Tells the limiter that the process has run without a pause since the last observation.
   *
   * @param untilMs - time of the last sign of it
   */
  markRunningUntil(untilMs: number): void {
    if (untilMs <= this.observedAtMs) return;
    this.observedAtMs = untilMs;
    this.applyPendingIncrease(untilMs);
  }

  /** Changes the part: at once where it shrinks, after a delay where it grows. */
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

  /** Admits a call or refuses it. */
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
