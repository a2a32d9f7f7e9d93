/** Learned service times per kind of work: a running log-normal fit. */

const averageWeight = 0.02;
const initialLogDeviation = 0.8;
const minSampleMs = 0.1;
const maxLogDeviation = 1.5;

interface KindTimes {
  meanMs: number;
  logMean: number;
  logVariance: number;
}

/** Service times of the kinds of one service. */
export class ServiceTimes {
  /** Expected slot time of a call of any kind. */
  overallMeanMs: number;

  private readonly kinds = new Map<string, KindTimes>();

  /** @param initialMs - usual service time before any answer was seen */
  constructor(private readonly initialMs: number) {
    this.overallMeanMs = initialMs;
  }

  /**
   * Notes the service time of an answered call.
   *
   * @param kind - kind of work
   * @param elapsedMs - time from dispatch to the end of the answer
   */
  note(kind: string, elapsedMs: number): void {
    const times = this.timesOf(kind);
    const sampleMs = Math.max(minSampleMs, elapsedMs);
    const deviation = Math.log(sampleMs) - times.logMean;
    this.overallMeanMs += averageWeight * (sampleMs - this.overallMeanMs);
    times.meanMs += averageWeight * (sampleMs - times.meanMs);
    times.logMean += averageWeight * deviation;
    times.logVariance += averageWeight * (deviation * deviation - times.logVariance);
  }

  /** Expected slot time of a call of the kind. */
  meanMs(kind: string): number {
    return this.timesOf(kind).meanMs;
  }

  /**
   * Time within which most calls of the kind are done.
   *
   * @param kind - kind of work
   * @param deviations - standard deviations above the mean of the logarithm
   */
  usualMs(kind: string, deviations: number): number {
    const times = this.timesOf(kind);
    const logDeviation = Math.min(maxLogDeviation, Math.sqrt(times.logVariance));
    return Math.exp(times.logMean + deviations * logDeviation);
  }

  private timesOf(kind: string): KindTimes {
    const known = this.kinds.get(kind);
    if (known !== undefined) return known;
    const logVariance = initialLogDeviation * initialLogDeviation;
    const times: KindTimes = {
      meanMs: this.initialMs,
      logMean: Math.log(this.initialMs) - logVariance / 2,
      logVariance,
    };
    this.kinds.set(kind, times);
    return times;
  }
}
