import type { CallOutcome } from '@buckthornlug/protocol/steering/placementTypes.js';

/** Passive outlier detection: judges backend servers by the outcomes of their calls alone. */

/** Thresholds of the detection. */
export interface OutlierLimits {
  /** Consecutive failures after which a backend server is ejected. */
  readonly maxConsecutiveFailures: number;
  /** Weight of the latest answer in the moving averages. */
  readonly averageWeight: number;
  /** Moving average of the failure rate above which a backend server is ejected. */
  readonly maxFailureShare: number;
  /** Answers needed before an average counts. */
  readonly minAnswers: number;
  /** Multiple of the peers' median answer time above which a backend server is too slow. */
  readonly slowFactor: number;
  /** Duration of the first ejection; each further ejection doubles it, up to `maxEjectionMs`. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Share of the pool that is never ejected. */
  readonly minInPoolPermille: number;
  /** Consecutive good answers that end a probation. */
  readonly probesToReadmit: number;
}

export const defaultOutlierLimits: OutlierLimits = {
  maxConsecutiveFailures: 5,
  averageWeight: 0.05,
  maxFailureShare: 0.4,
  minAnswers: 20,
  slowFactor: 4,
  baseEjectionMs: 2000,
  maxEjectionMs: 60_000,
  minInPoolPermille: 500,
  probesToReadmit: 3,
};

/** Standing of a backend server in its pool. */
export type Standing = 'in' | 'ejected' | 'probation';

const serverErrorStatus = 500;

/** Whether the backend server failed the call. */
function isFailure(outcome: CallOutcome): boolean {
  if (outcome.result === 'broken' || outcome.result === 'timedOut') return true;
  return outcome.result === 'answered' && (outcome.status ?? 0) >= serverErrorStatus;
}

/** Detects whether one backend server is an outlier, from the outcomes of its calls. */
export class OutlierDetector {
  private consecutiveFailures = 0;

  private failureAverage = 0;

  private meanLogElapsed = 0;

  private answers = 0;

  private ejections = 0;

  private ejectedUntilMs = Number.NEGATIVE_INFINITY;

  private goodProbes = 0;

  private currentStanding: Standing = 'in';

  constructor(private readonly limits: OutlierLimits) {}

  /**
   * Records the outcome of a call. Calls that were cancelled or did not run say nothing about the
   * backend server and are ignored.
   */
  record(outcome: CallOutcome): void {
    if (outcome.result === 'cancelled' || outcome.result === 'notRun') return;
    const failed = isFailure(outcome);
    this.consecutiveFailures = failed ? this.consecutiveFailures + 1 : 0;
    this.failureAverage += this.limits.averageWeight * (Number(failed) - this.failureAverage);
    this.answers += 1;
    if (!failed) this.recordElapsed(outcome.elapsedMs);
    const isGood = !failed && outcome.result === 'answered';
    if (this.currentStanding === 'probation') this.goodProbes = isGood ? this.goodProbes + 1 : 0;
  }

  /**
   * Whether the backend server should be ejected.
   *
   * @param peerMedianMs - median of the mean answer times of its peers; undefined without peers
   */
  isOutlier(peerMedianMs: number | undefined): boolean {
    if (this.consecutiveFailures >= this.limits.maxConsecutiveFailures) return true;
    if (this.currentStanding === 'probation' && this.consecutiveFailures > 0) return true;
    if (this.answers < this.limits.minAnswers) return false;
    if (this.failureAverage > this.limits.maxFailureShare) return true;
    if (peerMedianMs === undefined) return false;
    return this.meanMs > peerMedianMs * this.limits.slowFactor;
  }

  /** Ejects the backend server, each time for longer. */
  eject(nowMs: number): void {
    const growth = 2 ** Math.min(this.ejections, 10);
    const ejectionMs = Math.min(this.limits.maxEjectionMs, this.limits.baseEjectionMs * growth);
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + ejectionMs;
    this.currentStanding = 'ejected';
  }

  /** Current standing; moves from ejection to probation, and from probation back in, when due. */
  standing(nowMs: number): Standing {
    if (this.currentStanding === 'ejected' && nowMs >= this.ejectedUntilMs) {
      this.changeStanding('probation');
    }
    if (this.currentStanding === 'probation' && this.goodProbes >= this.limits.probesToReadmit) {
      this.changeStanding('in');
    }
    return this.currentStanding;
  }

  /** Moving geometric mean of the answer times. */
  get meanMs(): number {
    return Math.exp(this.meanLogElapsed);
  }

  /** Whether there are enough answers to compare the backend server with its peers. */
  get hasEnoughAnswers(): boolean {
    return this.answers >= this.limits.minAnswers;
  }

  private recordElapsed(elapsedMs: number): void {
    const sample = Math.log(Math.max(0.01, elapsedMs));
    const weight = Math.max(this.limits.averageWeight, 1 / this.answers);
    this.meanLogElapsed += weight * (sample - this.meanLogElapsed);
  }

  private changeStanding(standing: Standing): void {
    this.currentStanding = standing;
    this.consecutiveFailures = 0;
    this.failureAverage = 0;
    this.answers = 0;
    this.goodProbes = 0;
  }
}

/**
 * Number of backend servers of a pool that may be ejected at the same time.
 *
 * @param poolSize - backend servers in the pool
 */
export function maxEjected(poolSize: number, limits: OutlierLimits): number {
  const kept = Math.max(1, Math.ceil((poolSize * limits.minInPoolPermille) / 1000));
  return Math.max(0, poolSize - kept);
}
