import { runShiftRound, type ShiftRoundResult } from '../../shifts/shiftRound.js';
import { atMost, type BenchOptions, type BenchReport, type Experiment } from '../benchTypes.js';

const rounds = 100;
const progressEvery = 10;

function sumOf(results: readonly ShiftRoundResult[], field: keyof ShiftRoundResult): number {
  return results.reduce((sum, result) => sum + result[field], 0);
}

async function runRounds(options: BenchOptions): Promise<ShiftRoundResult[]> {
  const results: ShiftRoundResult[] = [];
  for (let round = 1; round <= rounds; round += 1) {
    results.push(await runShiftRound(options.seed * 1000 + round));
    if (round % progressEvery === 0) options.progress(`shift: ${round} of ${rounds} rounds`);
  }
  return results;
}

async function runShift(options: BenchOptions): Promise<BenchReport> {
  const results = await runRounds(options);
  const figures = {
    rounds,
    capCallsPerS: results[0]?.cap ?? 0,
    largestWindowCalls: Math.max(...results.map((result) => result.largestWindow)),
    admitted: sumOf(results, 'admitted'),
    refused: sumOf(results, 'refused'),
    committedSteps: sumOf(results, 'committedSteps'),
    refusedSteps: sumOf(results, 'refusedSteps'),
    leaderChanges: sumOf(results, 'leaderChanges'),
    pauses: sumOf(results, 'pauses'),
    restarts: sumOf(results, 'restarts'),
  };
  return {
    experiment: 'shift',
    seed: options.seed,
    rows: [{ condition: 'tasks of 12 hosts in 3 regions in virtual time', figures }],
    bounds: [
      atMost('overshoot, calls', Math.max(...results.map((result) => result.overshoot)), 0),
      atMost('steps too large or too soon', sumOf(results, 'stepFaults'), 0),
    ],
  };
}

/** Shifts with leaders lost, hosts paused, regions failed and operators racing. */
export const shiftExperiment: Experiment = {
  name: 'shift',
  describe: 'largest overshoot of a cap over all receivers in seeded rounds of faults',
  run: runShift,
};
