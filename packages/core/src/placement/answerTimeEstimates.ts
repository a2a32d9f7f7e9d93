/** Estimates of answer times, learned from the answers of each route. */

/** Initial estimate for a cold object, as a share of the latency objective of the route. */
const initialColdShare = 0.8;
/** Initial estimate for a warm object, as a share of the latency objective of the route. */
const initialWarmShare = 0.3;
/** Largest change of an estimate by one answer, as a share of the estimate. */
const maxStepShare = 0.04;

interface RouteEstimates {
  warmMs: number;
  coldMs: number;
}

/** Moves the estimate of a median towards a sample by a limited step, so that outliers count no more. */
function stepTowards(estimateMs: number, sampleMs: number): number {
  const stepMs = Math.max(1, estimateMs * maxStepShare);
  if (Math.abs(sampleMs - estimateMs) <= stepMs) return sampleMs;
  return sampleMs > estimateMs ? estimateMs + stepMs : estimateMs - stepMs;
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
    const times = this.estimatesOf(routeId, targetMs);
    return isWarm ? Math.min(times.warmMs, times.coldMs) : times.coldMs;
  }

  /** Records the time of an answer to a call that did not wait for a slot. */
  record(routeId: string, targetMs: number, isWarm: boolean, elapsedMs: number): void {
    const times = this.estimatesOf(routeId, targetMs);
    if (isWarm) times.warmMs = stepTowards(times.warmMs, elapsedMs);
    else times.coldMs = stepTowards(times.coldMs, elapsedMs);
  }

  private estimatesOf(routeId: string, targetMs: number): RouteEstimates {
    const known = this.byRoute.get(routeId);
    if (known !== undefined) return known;
    const created = { warmMs: targetMs * initialWarmShare, coldMs: targetMs * initialColdShare };
    this.byRoute.set(routeId, created);
    return created;
  }
}
