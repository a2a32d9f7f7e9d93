/** A rate over the recent past, with exponential decay. */
export class DecayingRate {
  private amount = 0;

  private updatedAtMs = 0;

  /** @param windowMs - time constant of the decay */
  constructor(private readonly windowMs: number) {}

  /** Adds an amount now. */
  add(amount: number, nowMs: number): void {
    this.decay(nowMs);
    this.amount += amount;
  }

  /** Amount per millisecond over the recent past. */
  perMs(nowMs: number): number {
    this.decay(nowMs);
    return this.amount / this.windowMs;
  }

  private decay(nowMs: number): void {
    const passedMs = nowMs - this.updatedAtMs;
    if (passedMs <= 0) return;
    this.amount *= Math.exp(-passedMs / this.windowMs);
    this.updatedAtMs = nowMs;
  }
}
