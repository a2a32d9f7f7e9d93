/** Expected times of answers, learned from the answers of a route. */

/** Share of its latency objective that an answer is taken to need before any was seen. */
const firstShare = 0.8;
/** The same where the object was handled there lately. */
const firstWarmShare = 0.3;
/** Change of an estimate by one answer, as a share of it. */
const stepShare = 0.04;

interface RouteTimes {
  warmMs: number;
  coldMs: number;
}

/** Moves an estimate of a median towards a sample; single samples far off move it no further. */
function moved(estimateMs: number, sampleMs: number): number {
  const stepMs = Math.max(1, estimateMs * stepShare);
  if (Math.abs(sampleMs - estimateMs) <= stepMs) return sampleMs;
  return sampleMs > estimateMs ? estimateMs + stepMs : estimateMs - stepMs;
}

/** Median times of answers by route, apart for objects that the backend server handled lately. */
export class AnswerTimes {
  private readonly byRoute = new Map<string, RouteTimes>();

  /**
   * Expected time from dispatch to answer at an idle backend server, without the link.
   *
   * @param routeId - route of the call
   * @param targetMs - latency objective of the route
   * @param isWarm - whether its object was handled there lately
   */
  expectedMs(routeId: string, targetMs: number, isWarm: boolean): number {
    const times = this.timesOf(routeId, targetMs);
    return isWarm ? Math.min(times.warmMs, times.coldMs) : times.coldMs;
  }

  /** Takes note of an answer that did not wait for a slot. */
  note(routeId: string, targetMs: number, isWarm: boolean, elapsedMs: number): void {
    const times = this.timesOf(routeId, targetMs);
    if (isWarm) times.warmMs = moved(times.warmMs, elapsedMs);
    else times.coldMs = moved(times.coldMs, elapsedMs);
  }

  private timesOf(routeId: string, targetMs: number): RouteTimes {
    const known = this.byRoute.get(routeId);
    if (known !== undefined) return known;
    const created = { warmMs: targetMs * firstWarmShare, coldMs: targetMs * firstShare };
    this.byRoute.set(routeId, created);
    return created;
  }
}
