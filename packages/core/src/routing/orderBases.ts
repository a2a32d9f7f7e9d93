/**
 * Bases of operators' orders: the last change that a host knew when it received an order. The state machine
 * refuses an order whose base is not the last change any more. A late copy, which its sender has given up on,
 * then cannot undo a later order, wherever it was held up after it was received.
 */

/** Changes of the state by key at one time, such as an availability zone; each later one has a higher number. */
export type Changes = ReadonlyMap<string, number>;

/** Change number of a key that never changed. */
export const neverChanged = 0;

/** Limits for noticing that the process stood still. */
export interface OrderBasesOptions {
  /** Longest regular time between two observations. */
  readonly maxGapMs: number;
  /** Time after a gap in which an order may have arrived before its end. */
  readonly settleMs: number;
}

/**
 * Tells the base of each order. An order that is read after the process stood still may have arrived at any
 * time since, so that its base is what was known before.
 */
export class OrderBases {
  private settledChanges: Changes = new Map();

  private settlesAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param observedAtMs - monotonic time
   */
  constructor(
    private readonly options: OrderBasesOptions,
    private observedAtMs: number,
  ) {}

  private hasGap(nowMs: number): boolean {
    return nowMs - this.observedAtMs > this.options.maxGapMs;
  }

  /**
   * Notes what the host knows; call it at intervals below `maxGapMs`.
   *
   * @returns length of the gap that has just ended; undefined without one
   */
  observe(changes: Changes, nowMs: number): number | undefined {
    const gapMs = this.hasGap(nowMs) ? nowMs - this.observedAtMs : undefined;
    if (gapMs !== undefined) this.settlesAtMs = nowMs + this.options.settleMs;
    this.observedAtMs = nowMs;
    if (nowMs >= this.settlesAtMs) this.settledChanges = changes;
    return gapMs;
  }

  /** Notes a break of the clock, which may hide a gap: an order may have arrived before its end. */
  noteBreak(nowMs: number): void {
    this.settlesAtMs = nowMs + this.options.settleMs;
  }

  /**
   * Returns the base of an order that is read now.
   *
   * @param changes - what the host knows now
   * @param nowMs - monotonic time
   */
  baseOf(key: string, changes: Changes, nowMs: number): number {
    const isUnsettled = this.hasGap(nowMs) || nowMs < this.settlesAtMs;
    return (isUnsettled ? this.settledChanges : changes).get(key) ?? neverChanged;
  }
}
