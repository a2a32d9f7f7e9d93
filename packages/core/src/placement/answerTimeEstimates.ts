/** Expected times of answers, learned from the answers of a route. */

/** Share of its latency objective that an answer is taken to need before any was seen. */
const initialColdShare = 0.8;
/** The same where the object was handled there lately. */
const initialWarmShare = 0.3;
/** Change of an estimate by one answer, as a share of it. */
const maxStepShare = 0.04;

interface RouteEstimates {
  warmMs: number;
  coldMs: number;
}

/** Moves an estimate of a median towards a sample; single samples far off move it no further. */
function stepTowards(estimateMs: number, sampleMs: number): number {
  const stepMs = Math.max(1, estimateMs * maxStepShare);
  if (Math.abs(sampleMs - estimateMs) <= stepMs) return sampleMs;
  return sampleMs > estimateMs ? estimateMs + stepMs : estimateMs - stepMs;
}

/** Median times of answers by route, apart for objects that the backend server handled lately. */
export class AnswerTimeEstimates {
  private readonly byRoute = new Map<string, RouteEstimates>();

  /**
   * Expected time from dispatch to answer at an idle backend server, without the link.
   *
   * @param routeId - route of the call
   * @param targetMs - latency objective of the route
   * @param isWarm - whether its object was handled there lately
   */
  expectedMs(routeId: string, targetMs: number, isWarm: boolean): number {
    const times = this.estimatesOf(routeId, targetMs);
    return isWarm ? Math.min(times.warmMs, times.coldMs) : times.coldMs;
  }

  /** Takes note of an answer that did not wait for a slot. */
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
