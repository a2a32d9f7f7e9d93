import type { Experiment } from './benchTypes.js';
import { callOverhead } from './callOverhead.js';
import { drainExperiment } from './load/drainExperiment.js';
import { floodExperiment } from './load/floodExperiment.js';
import {
  headroomExperiments,
  latencyExperiments,
  slotsExperiment,
} from './load/latencyExperiment.js';
import { policyExperiment } from './load/policyExperiment.js';
import { poolHeadroomExperiment } from './load/poolHeadroomExperiment.js';
import { controlExperiment } from './control/controlExperiment.js';
import { lookup } from './lookup.js';
import { followingExperiment } from './members/followingExperiment.js';
import { membersExperiment } from './members/membersExperiment.js';
import { recompileExperiment } from './members/recompileExperiment.js';
import { spreadingExperiment } from './members/spreadingExperiment.js';
import { onceExperiment } from './once/onceExperiment.js';
import { shiftExperiment } from './shift/shiftExperiment.js';

/** The experiments of `npm run bench`. */
export const experiments: readonly Experiment[] = [
  callOverhead,
  lookup,
  policyExperiment,
  poolHeadroomExperiment,
  ...headroomExperiments,
  ...latencyExperiments,
  floodExperiment,
  drainExperiment,
  slotsExperiment,
  controlExperiment,
  onceExperiment,
  shiftExperiment,
  recompileExperiment,
  membersExperiment,
  followingExperiment,
  spreadingExperiment,
];
