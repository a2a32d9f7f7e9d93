import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws from one seeded sequence. */
export interface SeededRandom {
  /** Number in [0, 1). */
  readonly next: () => number;
  /** Number in [low, high). */
  readonly between: (low: number, high: number) => number;
  /** Whole number in [0, bound). */
  readonly below: (bound: number) => number;
  /** True with the given probability. */
  readonly chance: (probability: number) => boolean;
}

/**
 * Creates a repeatable sequence of random numbers.
 *
 * @param seed - whole number that fixes the sequence
 */
export function createSeededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  const next = () => uniformFloat64(generator);
  return {
    next,
    between: (low, high) => low + next() * (high - low),
    below: (bound) => Math.floor(next() * bound),
    chance: (probability) => next() < probability,
  };
}
