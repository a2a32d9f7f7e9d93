import type { Experiment } from './benchTypes.js';

/** The experiments of `npm run bench`. */
export const experiments: readonly Experiment[] = [];
