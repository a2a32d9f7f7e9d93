import { createSeededRandom } from '../fakes/seededRandom.js';

/** Draws from one seeded sequence. */
export interface Draws {
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
 * Creates repeatable draws.
 *
 * @param seed - whole number that fixes the sequence
 */
export function createDraws(seed: number): Draws {
  const next = createSeededRandom(seed);
  return {
    next,
    between: (low, high) => low + next() * (high - low),
    below: (bound) => Math.floor(next() * bound),
    chance: (probability) => next() < probability,
  };
}
