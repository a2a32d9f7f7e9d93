/** Estimates of answer times, learned from the answers of each route. */

/** Initial estimate for a cold object, as a share of the latency objective of the route. */
const initialColdShare = 1.1;
/** Initial estimate for a warm object, as a share of the latency objective of the route. */
const initialWarmShare = 0.3;
/** Largest change of a settled estimate by one answer, as a share of the estimate. */
const settledStepShare = 0.04;
/** Largest change of an estimate by its first answer; it falls as the reciprocal of their number. */
const firstStepShare = 0.3;

interface Estimate {
  ms: number;
  samples: number;
}

interface RouteEstimates {
  readonly warm: Estimate;
  readonly cold: Estimate;
}

/**
 * Moves the estimate of a median towards a sample by a limited step, so that outliers count no more.
 * The first answers move it further, since the initial value is a guess.
 */
function stepTowards(estimate: Estimate, sampleMs: number): void {
  const updated = estimate;
  updated.samples += 1;
  const stepShare = Math.max(settledStepShare, firstStepShare / updated.samples);
  const stepMs = Math.max(1, estimate.ms * stepShare);
  const differenceMs = sampleMs - estimate.ms;
  updated.ms += Math.sign(differenceMs) * Math.min(stepMs, Math.abs(differenceMs));
}

/**
 * Median answer times by route, for warm and for cold objects. An object is warm at a backend server
 * that handled it recently.
 */
export class AnswerTimeEstimates {
  private readonly byRoute = new Map<string, RouteEstimates>();

  /**
   * Expected time from dispatch to answer at an idle backend server, without the network delay.
   *
   * @param targetMs - latency objective of the route
   * @param isWarm - whether the object of the call is warm at the backend server
   */
  expectedMs(routeId: string, targetMs: number, isWarm: boolean): number {
    const { warm, cold } = this.estimatesOf(routeId, targetMs);
    return isWarm ? Math.min(warm.ms, cold.ms) : cold.ms;
  }

  /**
   * Records the time of an answer to a call that did not wait for a slot.
   *
   * @param isWarm - whether the object was warm; undefined if another host may have warmed it, and
   *   then the time counts for the estimate that it is nearer to
   * @returns the estimate before the answer, to which its time compares
   */
  record(
    routeId: string,
    targetMs: number,
    isWarm: boolean | undefined,
    elapsedMs: number,
  ): number {
    const { warm, cold } = this.estimatesOf(routeId, targetMs);
    const wasWarm = isWarm ?? elapsedMs < Math.sqrt(warm.ms * cold.ms);
    const estimate = wasWarm ? warm : cold;
    const previousMs = estimate.ms;
    stepTowards(estimate, elapsedMs);
    return previousMs;
  }

  private estimatesOf(routeId: string, targetMs: number): RouteEstimates {
    const known = this.byRoute.get(routeId);
    if (known !== undefined) return known;
    const created = {
      warm: { ms: targetMs * initialWarmShare, samples: 0 },
      cold: { ms: targetMs * initialColdShare, samples: 0 },
    };
    this.byRoute.set(routeId, created);
    return created;
  }
}
