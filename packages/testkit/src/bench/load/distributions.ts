import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers in [0, 1). */
export type Random = () => number;

/**
 * Creates a seeded source of random numbers.
 *
 * @param seed - the same seed gives the same numbers
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** A standard normal number (Box-Muller). */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/** Parameters of a log-normal distribution. */
export interface LogNormal {
  readonly logMean: number;
  readonly logDeviation: number;
}

const p99Deviations = 2.3263478740408408;

/**
 * Finds the log-normal distribution with a given mean and 99th percentile.
 *
 * @param mean - mean of the distribution
 * @param p99Factor - 99th percentile over the mean
 */
export function logNormalOf(mean: number, p99Factor: number): LogNormal {
  const root = p99Deviations ** 2 - 2 * Math.log(p99Factor);
  const logDeviation = p99Deviations - Math.sqrt(root);
  return { logMean: Math.log(mean) - logDeviation ** 2 / 2, logDeviation };
}

/** Draws from a log-normal distribution. */
export function drawLogNormal(distribution: LogNormal, random: Random): number {
  return Math.exp(distribution.logMean + distribution.logDeviation * normal(random));
}

/** Draws the time to the next arrival of a Poisson process, in milliseconds. */
export function drawInterarrivalMs(callsPerS: number, random: Random): number {
  return (-Math.log(1 - random()) / callsPerS) * 1000;
}

/** Service times of the fakes: mean 40 ms, 99th percentile five times the mean. */
export const fakeServiceTimes = logNormalOf(40, 5);
