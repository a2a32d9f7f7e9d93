/** A token bucket of slot time, in slot-milliseconds; it carries the floor of a rank. */
export class SlotTimeBucket {
  private tokensSlotMs: number;

  private refilledAtMs: number;

  /**
   * @param share - part of all slots that fills the bucket, 0 to 1
   * @param burstMs - time for which unused tokens and debts are kept
   * @param nowMs - current time
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
   * Fills the bucket for the time that passed.
   *
   * @param slots - slots of the pool
   * @param nowMs - current time
   */
  refill(slots: number, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.refilledAtMs);
    const capacitySlotMs = this.share * slots * this.burstMs;
    this.refilledAtMs = nowMs;
    this.tokensSlotMs = Math.min(capacitySlotMs, this.tokensSlotMs + this.share * slots * passedMs);
  }

  /**
   * Charges slot time; a debt is bounded, so that service beyond the floor is soon forgotten.
   *
   * @param slotMs - slot time used, negative to give some back
   * @param slots - slots of the pool
   */
  charge(slotMs: number, slots: number): void {
    const maxDebtSlotMs = this.share * slots * this.burstMs;
    this.tokensSlotMs = Math.max(-maxDebtSlotMs, this.tokensSlotMs - slotMs);
  }

  /** Whether floor time is left. */
  get hasTokens(): boolean {
    return this.share > 0 && this.tokensSlotMs > 0;
  }
}
