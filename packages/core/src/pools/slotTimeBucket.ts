/** Token bucket of slot time, in slot-milliseconds, that accounts for the floor of a rank. */
export class SlotTimeBucket {
  private tokensSlotMs: number;

  private refilledAtMs: number;

  /**
   * @param share - share of all slots that refills the bucket, 0 to 1
   * @param burstMs - time over which unused tokens and debts accumulate
   */
  constructor(
    private readonly share: number,
    private readonly burstMs: number,
    nowMs: number,
  ) {
    this.tokensSlotMs = 0;
    this.refilledAtMs = nowMs;
  }

  /**
   * Refills the bucket for the time since the last refill.
   *
   * @param slots - slots of the pool
   */
  refill(slots: number, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.refilledAtMs);
    const capacitySlotMs = this.share * slots * this.burstMs;
    this.refilledAtMs = nowMs;
    this.tokensSlotMs = Math.min(capacitySlotMs, this.tokensSlotMs + this.share * slots * passedMs);
  }

  /**
   * Charges slot time. The debt is bounded, so that service beyond the floor is soon forgotten.
   *
   * @param slotMs - slot time used; negative for a refund
   * @param slots - slots of the pool
   */
  charge(slotMs: number, slots: number): void {
    const maxDebtSlotMs = this.share * slots * this.burstMs;
    this.tokensSlotMs = Math.max(-maxDebtSlotMs, this.tokensSlotMs - slotMs);
  }

  /** Whether the rank has floor tokens left. */
  get hasTokens(): boolean {
    return this.share > 0 && this.tokensSlotMs > 0;
  }
}
