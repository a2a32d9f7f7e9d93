import { runOnceRound, type OnceRoundResult } from '../../ledger/onceRound.js';
import { atMost, type BenchOptions, type BenchReport, type Experiment } from '../benchTypes.js';

const rounds = 100;
const progressEvery = 25;

function sumOf(results: readonly OnceRoundResult[], field: keyof OnceRoundResult): number {
  return results.reduce((sum, result) => sum + result[field], 0);
}

async function runRounds(options: BenchOptions): Promise<OnceRoundResult[]> {
  const results: OnceRoundResult[] = [];
  for (let round = 1; round <= rounds; round += 1) {
    results.push(await runOnceRound(options.seed * 1000 + round));
    if (round % progressEvery === 0) options.progress(`once: ${round} of ${rounds} rounds`);
  }
  return results;
}

async function runOnce(options: BenchOptions): Promise<BenchReport> {
  const results = await runRounds(options);
  const figures = {
    rounds,
    orders: sumOf(results, 'orders'),
    executions: sumOf(results, 'executions'),
    kills: sumOf(results, 'kills'),
    pauses: sumOf(results, 'pauses'),
    endedUnknown: sumOf(results, 'endedUnknown'),
    unknownNeverRun: sumOf(results, 'unknownNeverRun'),
  };
  return {
    experiment: 'once',
    seed: options.seed,
    rows: [{ condition: 'tasks and ledger in virtual time, faulty network', figures }],
    bounds: [
      atMost('orders run twice', sumOf(results, 'doubleRuns'), 0),
      atMost('false "not run"', sumOf(results, 'falseNotRun'), 0),
      atMost('accepted outcomes lost', sumOf(results, 'acceptedLost'), 0),
    ],
  };
}

/** Rounds of kills, pauses, cuts, resends and lost replies against once-only work. */
export const onceExperiment: Experiment = {
  name: 'once',
  describe: 'once-only work in seeded rounds of kills, pauses, cuts, resends and lost replies',
  run: runOnce,
};
