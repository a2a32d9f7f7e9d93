/**
 * How long a host waits for an answer before it asks another source beside it. On a congested link every
 * source takes longer; a fixed limit would then take all of them for dead, one after another.
 */

const defaultMinPatienceMs = 500;
const maxPatienceMs = 1500;
/** Weights of the newest answer in the moving averages, as for the retransmission timer of TCP. */
const delayWeight = 0.125;
const deviationWeight = 0.25;
const deviationFactor = 4;

/** Estimates how long an answer takes beyond the wait that was asked for. */
export class AnswerPatience {
  private meanMs: number | undefined;

  private deviationMs = 0;

  /** @param minPatienceMs - patience with answers that come at once */
  constructor(private readonly minPatienceMs = defaultMinPatienceMs) {}

  /**
   * Records an answer, also one that came late.
   *
   * @param delayMs - time beyond the wait of the poll
   */
  record(delayMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = delayMs;
      this.deviationMs = delayMs / 2;
      return;
    }
    const differenceMs = delayMs - this.meanMs;
    this.deviationMs += deviationWeight * (Math.abs(differenceMs) - this.deviationMs);
    this.meanMs += delayWeight * differenceMs;
  }

  /** Time beyond the wait of a poll after which its answer counts as late. */
  patienceMs(): number {
    const expectedMs = (this.meanMs ?? 0) + deviationFactor * this.deviationMs;
    return Math.max(this.minPatienceMs, Math.min(maxPatienceMs, expectedMs));
  }
}
