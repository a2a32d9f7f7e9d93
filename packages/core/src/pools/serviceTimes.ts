/** Learned service times per kind of work: a running log-normal fit. */

/** Smallest weight of a new sample. */
const minSampleWeight = 0.02;
/** Number of samples that the initial estimate counts as. */
const priorSamples = 4;
const initialLogDeviation = 0.8;
const minSampleMs = 0.1;
const maxLogDeviation = 1.5;

interface KindTimes {
  samples: number;
  meanMs: number;
  logMean: number;
  logVariance: number;
}

/**
 * Weight of the next sample: the first samples soon replace the initial estimate, later ones change
 * a settled average little.
 *
 * @param samples - number of samples recorded before
 */
function sampleWeight(samples: number): number {
  return Math.max(minSampleWeight, 1 / (priorSamples + samples + 1));
}

/** Service times of the kinds of one service. */
export class ServiceTimes {
  /** Expected slot time of a call of any kind. */
  overallMeanMs: number;

  private samples = 0;

  private readonly kinds = new Map<string, KindTimes>();

  /** @param initialMs - service time that is assumed before the first answer */
  constructor(private readonly initialMs: number) {
    this.overallMeanMs = initialMs;
  }

  /**
   * Records the service time of an answered call.
   *
   * @param elapsedMs - time from dispatch to the end of the answer
   */
  record(kind: string, elapsedMs: number): void {
    const times = this.timesOf(kind);
    const sampleMs = Math.max(minSampleMs, elapsedMs);
    const deviation = Math.log(sampleMs) - times.logMean;
    this.overallMeanMs += sampleWeight(this.samples) * (sampleMs - this.overallMeanMs);
    this.samples += 1;
    const weight = sampleWeight(times.samples);
    times.samples += 1;
    times.meanMs += weight * (sampleMs - times.meanMs);
    times.logMean += weight * deviation;
    times.logVariance += weight * (deviation * deviation - times.logVariance);
  }

  /** Expected slot time of a call of the kind. */
  meanMs(kind: string): number {
    return this.timesOf(kind).meanMs;
  }

  /**
   * Quantile of the service time of a kind, by the log-normal fit.
   *
   * @param deviations - standard deviations above the mean of the logarithm; 0 for the median
   */
  quantileMs(kind: string, deviations: number): number {
    const times = this.timesOf(kind);
    const logDeviation = Math.min(maxLogDeviation, Math.sqrt(times.logVariance));
    return Math.exp(times.logMean + deviations * logDeviation);
  }

  private timesOf(kind: string): KindTimes {
    const known = this.kinds.get(kind);
    if (known !== undefined) return known;
    const logVariance = initialLogDeviation * initialLogDeviation;
    const times: KindTimes = {
      samples: 0,
      meanMs: this.initialMs,
      logMean: Math.log(this.initialMs) - logVariance / 2,
      logVariance,
    };
    this.kinds.set(kind, times);
    return times;
  }
}
