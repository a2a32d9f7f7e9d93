/** A rate over the recent past, with exponential decay. */
export class DecayingRate {
  private amount = 0;

  private updatedAtMs = 0;

  /** @param timeConstantMs - time in which an amount decays to 1/e */
  constructor(private readonly timeConstantMs: number) {}

  add(amount: number, nowMs: number): void {
    this.decay(nowMs);
    this.amount += amount;
  }

  /** Amount per millisecond over the recent past. */
  perMs(nowMs: number): number {
    this.decay(nowMs);
    return this.amount / this.timeConstantMs;
  }

  private decay(nowMs: number): void {
    const passedMs = nowMs - this.updatedAtMs;
    if (passedMs <= 0) return;
    this.amount *= Math.exp(-passedMs / this.timeConstantMs);
    this.updatedAtMs = nowMs;
  }
}
