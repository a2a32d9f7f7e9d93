import type { Experiment } from './benchTypes.js';
import { callOverhead } from './callOverhead.js';
import { controlExperiment } from './control/controlExperiment.js';
import { lookup } from './lookup.js';
import { onceExperiment } from './once/onceExperiment.js';
import { shiftExperiment } from './shift/shiftExperiment.js';

/** The experiments of `npm run bench`. */
export const experiments: readonly Experiment[] = [
  callOverhead,
  lookup,
  controlExperiment,
  onceExperiment,
  shiftExperiment,
];
