import type { ShiftPart } from './shiftParts.js';

/** A longer gap between two observations counts as a pause of the process. */
export const maxGapMs = 250;
/** Shortest pause in which another host can have taken the pool over. */
const takeOverGapMs = 1000;
/** Time for which a larger part waits, so that other zones have taken up their smaller ones. */
const growthDelayMs = 10_000;
/** Old times that are kept before the list is shortened. */
const compactionLength = 1024;

/**
 * Admits shifted calls so that no window of the part's length holds more than its calls. It starts
 * closed for at least one window, and closes again after a pause of the process, so that calls
 * admitted by a former pool owner or before the pause are counted out.
 */
export class ShiftLimiter {
  /** Times of admitted calls, the oldest first, from `firstInside` on those inside the window. */
  private admitted: number[] = [];

  private firstInside = 0;

  private closedUntilMs: number;

  private observedAtMs: number;

  private pending: { part: ShiftPart; atMs: number } | undefined;

  /**
   * @param part - calls and window
   * @param nowMs - monotonic time
   * @param closedMs - shortest time for which it stays closed at the start and after a pause in which
   * another host can have taken the pool over
   * @param guardMs - largest difference between the delays of two calls on their way; calls that
   * are admitted further apart than the window stay apart when they arrive
   */
  constructor(
    private part: ShiftPart,
    nowMs: number,
    private readonly closedMs = 0,
    private readonly guardMs = 0,
  ) {
    this.closedUntilMs = nowMs + this.closedForMs();
    this.observedAtMs = nowMs;
  }

  /** Tells the limiter that the process runs; to be called more often than each 250 ms. */
  observe(nowMs: number): void {
    const gapMs = nowMs - this.observedAtMs;
    if (gapMs >= takeOverGapMs) this.closeFor(nowMs, this.closedForMs());
    else if (gapMs > maxGapMs) this.closeFor(nowMs, this.part.windowMs + this.guardMs);
    this.observedAtMs = nowMs;
    this.takeUpPending(nowMs);
  }

  /**
   * Tells the limiter that the process has run without a pause since the last observation.
   *
   * @param untilMs - time of the last sign of it
   */
  ranUntil(untilMs: number): void {
    if (untilMs <= this.observedAtMs) return;
    this.observedAtMs = untilMs;
    this.takeUpPending(untilMs);
  }

  /** Changes the part: at once where it shrinks, after a delay where it grows. */
  change(part: ShiftPart, nowMs: number): void {
    const isSame = part.maxCalls === this.part.maxCalls && part.windowMs === this.part.windowMs;
    const isSmaller = part.maxCalls <= this.part.maxCalls && part.windowMs >= this.part.windowMs;
    if (isSmaller || isSame) {
      this.part = part;
      this.pending = undefined;
      return;
    }
    const wanted = this.pending?.part;
    if (wanted?.maxCalls === part.maxCalls && wanted.windowMs === part.windowMs) return;
    this.pending = { part, atMs: nowMs + growthDelayMs };
  }

  /** Admits a call or refuses it. */
  admit(nowMs: number): boolean {
    this.observe(nowMs);
    if (nowMs <= this.closedUntilMs) return false;
    this.dropOutside(nowMs - this.part.windowMs - this.guardMs);
    if (this.admitted.length - this.firstInside >= this.part.maxCalls) return false;
    this.admitted.push(nowMs);
    return true;
  }

  /** Time after which a call may be admitted again, in milliseconds. */
  retryAfterMs(nowMs: number): number {
    const oldest = this.admitted[this.firstInside];
    const freeAtMs = oldest === undefined ? nowMs : oldest + this.part.windowMs + this.guardMs;
    return Math.max(1, Math.ceil(Math.max(freeAtMs, this.closedUntilMs) - nowMs));
  }

  private takeUpPending(nowMs: number): void {
    if (this.pending === undefined || nowMs < this.pending.atMs) return;
    this.part = this.pending.part;
    this.pending = undefined;
  }

  private closeFor(nowMs: number, timeMs: number): void {
    this.closedUntilMs = Math.max(this.closedUntilMs, nowMs + timeMs);
  }

  private closedForMs(): number {
    return Math.max(this.closedMs, this.part.windowMs + this.guardMs);
  }

  private dropOutside(oldestMs: number): void {
    while ((this.admitted[this.firstInside] ?? oldestMs) < oldestMs) this.firstInside += 1;
    if (this.firstInside < compactionLength) return;
    this.admitted = this.admitted.slice(this.firstInside);
    this.firstInside = 0;
  }
}
