import type { CallOutcome } from '@buckthornlug/protocol/steering/placementTypes.js';

/** Passive outlier detection: a backend server is judged by its own answers alone. */

/** Bounds of the detection. */
export interface OutlierLimits {
  /** Failures in a row after which a backend server is ejected. */
  readonly failuresInARow: number;
  /** Weight of the newest answer in the averages. */
  readonly averageWeight: number;
  /** Average share of failures above which a backend server is ejected. */
  readonly failureShare: number;
  /** Answers needed before an average counts. */
  readonly minAnswers: number;
  /** Factor over the median of the peers above which answers are too slow. */
  readonly slowFactor: number;
  /** First ejection time; each further one doubles it. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Share of the pool that always stays in, in permille. */
  readonly keepPermille: number;
  /** Good answers in a row that end a probation. */
  readonly goodProbes: number;
}

export const defaultOutlierLimits: OutlierLimits = {
  failuresInARow: 5,
  averageWeight: 0.05,
  failureShare: 0.4,
  minAnswers: 20,
  slowFactor: 4,
  baseEjectionMs: 2000,
  maxEjectionMs: 60_000,
  keepPermille: 500,
  goodProbes: 3,
};

/** Standing of a backend server in its pool. */
export type Standing = 'in' | 'ejected' | 'probation';

const serverErrorStatus = 500;

/** Tells whether an outcome speaks against the backend server. */
function isFailure(outcome: CallOutcome): boolean {
  if (outcome.result === 'broken' || outcome.result === 'timedOut') return true;
  return outcome.result === 'answered' && (outcome.status ?? 0) >= serverErrorStatus;
}

/** What the answers of one backend server say about it. */
export class OutlierRecord {
  private failuresInARow = 0;

  private failureAverage = 0;

  private logElapsed = 0;

  private answers = 0;

  private ejections = 0;

  private ejectedUntilMs = Number.NEGATIVE_INFINITY;

  private goodProbes = 0;

  private current: Standing = 'in';

  constructor(private readonly limits: OutlierLimits) {}

  /** Notes how a call ended. Outcomes that say nothing about the backend server change nothing. */
  note(outcome: CallOutcome): void {
    if (outcome.result === 'cancelled' || outcome.result === 'notRun') return;
    const failed = isFailure(outcome);
    this.failuresInARow = failed ? this.failuresInARow + 1 : 0;
    this.failureAverage += this.limits.averageWeight * (Number(failed) - this.failureAverage);
    this.answers += 1;
    if (!failed) this.noteElapsed(outcome.elapsedMs);
    const isGood = !failed && outcome.result === 'answered';
    if (this.current === 'probation') this.goodProbes = isGood ? this.goodProbes + 1 : 0;
  }

  /**
   * Tells whether the backend server should be ejected.
   *
   * @param peerMedianMs - median of the usual answer times of its peers; undefined without peers
   */
  isOutlier(peerMedianMs: number | undefined): boolean {
    if (this.failuresInARow >= this.limits.failuresInARow) return true;
    if (this.current === 'probation' && this.failuresInARow > 0) return true;
    if (this.answers < this.limits.minAnswers) return false;
    if (this.failureAverage > this.limits.failureShare) return true;
    if (peerMedianMs === undefined) return false;
    return this.usualMs > peerMedianMs * this.limits.slowFactor;
  }

  /** Takes the backend server out. */
  eject(nowMs: number): void {
    const growth = 2 ** Math.min(this.ejections, 10);
    const ejectionMs = Math.min(this.limits.maxEjectionMs, this.limits.baseEjectionMs * growth);
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + ejectionMs;
    this.current = 'ejected';
  }

  /** Moves from ejection to probation, and from probation back in, when it is time. */
  standing(nowMs: number): Standing {
    if (this.current === 'ejected' && nowMs >= this.ejectedUntilMs) {
      this.reset('probation');
    }
    if (this.current === 'probation' && this.goodProbes >= this.limits.goodProbes) {
      this.reset('in');
    }
    return this.current;
  }

  /** Usual time of an answer: the geometric mean of the latest ones. */
  get usualMs(): number {
    return Math.exp(this.logElapsed);
  }

  /** Whether enough answers came to compare the backend server with its peers. */
  get isKnown(): boolean {
    return this.answers >= this.limits.minAnswers;
  }

  private noteElapsed(elapsedMs: number): void {
    const sample = Math.log(Math.max(0.01, elapsedMs));
    const weight = Math.max(this.limits.averageWeight, 1 / this.answers);
    this.logElapsed += weight * (sample - this.logElapsed);
  }

  private reset(standing: Standing): void {
    this.current = standing;
    this.failuresInARow = 0;
    this.failureAverage = 0;
    this.answers = 0;
    this.goodProbes = 0;
  }
}

/**
 * Tells how many backend servers of a pool may be ejected at the same time.
 *
 * @param poolSize - backend servers in the pool
 * @param limits - bounds of the detection
 */
export function maxEjected(poolSize: number, limits: OutlierLimits): number {
  const kept = Math.max(1, Math.ceil((poolSize * limits.keepPermille) / 1000));
  return Math.max(0, poolSize - kept);
}
