import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers in [0, 1) that gives the same numbers for the same seed. */
export type SeededRandom = () => number;

/**
 * Creates a source.
 *
 * @param seed - seed of the sequence
 */
export function createSeededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Draws from the standard normal distribution.
 *
 * @param random - source of random numbers
 */
export function standardNormal(random: SeededRandom): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/**
 * Draws from an exponential distribution, such as the gaps of Poisson arrivals.
 *
 * @param random - source of random numbers
 * @param mean - mean of the distribution
 */
export function exponential(random: SeededRandom, mean: number): number {
  return -mean * Math.log(1 - random());
}

/** Standard score of the 99th percentile. */
const z99 = 2.326;

/** Spread of a log-normal distribution whose 99th percentile is a multiple of its mean. */
function sigmaOf(p99OfMean: number): number {
  const discriminant = z99 * z99 - 2 * Math.log(p99OfMean);
  if (discriminant <= 0) return z99;
  return z99 - Math.sqrt(discriminant);
}

/**
 * Creates a log-normal distribution.
 *
 * @param mean - mean of the distribution
 * @param p99OfMean - 99th percentile as a multiple of the mean
 */
export function createLogNormal(mean: number, p99OfMean: number) {
  const sigma = sigmaOf(p99OfMean);
  const mu = Math.log(mean) - (sigma * sigma) / 2;
  return (random: SeededRandom): number => Math.exp(mu + sigma * standardNormal(random));
}
