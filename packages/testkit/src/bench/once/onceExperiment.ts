import { runOnceProcessRounds } from '../../ledger/onceProcessRounds.js';
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
  const inProcesses = await runOnceProcessRounds(rounds, options.seed, options.progress);
  const inVirtualTime = {
    rounds,
    orders: sumOf(results, 'orders'),
    executions: sumOf(results, 'executions'),
    endedUnknown: sumOf(results, 'endedUnknown'),
    unknownNeverRun: sumOf(results, 'unknownNeverRun'),
    kills: sumOf(results, 'kills'),
    pauses: sumOf(results, 'pauses'),
  };
  const total = (field: 'doubleRuns' | 'falseNotRun' | 'acceptedLost') =>
    sumOf(results, field) + inProcesses[field];
  return {
    experiment: 'once',
    seed: options.seed,
    rows: [
      { condition: 'virtual time, network that loses and doubles', figures: inVirtualTime },
      { condition: 'three hosts as processes', figures: { ...inProcesses } },
    ],
    bounds: [
      atMost('orders run twice', total('doubleRuns'), 0),
      atMost('false "not run"', total('falseNotRun'), 0),
      atMost('accepted outcomes lost', total('acceptedLost'), 0),
      atMost('orders not settled', inProcesses.notSettled, 0),
      atMost('accepted changes of the document lost', inProcesses.changesLost, 0),
      atMost('changes of the document not accepted', inProcesses.changesNotAccepted, 0),
    ],
  };
}

/** Rounds of kills, pauses, cuts, resends, lost replies and document changes. */
export const onceExperiment: Experiment = {
  name: 'once',
  describe:
    'once-only work in seeded rounds of kills, pauses, cuts, resends, lost replies and document changes',
  run: runOnce,
};
