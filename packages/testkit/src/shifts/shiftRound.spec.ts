import test from 'ava';

import { runShiftRound } from './shiftRound.js';

const rounds = 30;

test('no seeded round of pauses, restarts, leaders, failures and operators exceeds a cap', async (t) => {
  const totals = { admitted: 0, refused: 0, committedSteps: 0, refusedSteps: 0, largestWindow: 0 };
  for (let seed = 1; seed <= rounds; seed += 1) {
    const result = await runShiftRound(seed);
    t.is(result.overshoot, 0, `seed ${seed}`);
    t.is(result.stepFaults, 0, `seed ${seed}`);
    totals.admitted += result.admitted;
    totals.refused += result.refused;
    totals.committedSteps += result.committedSteps;
    totals.refusedSteps += result.refusedSteps;
    totals.largestWindow = Math.max(totals.largestWindow, result.largestWindow);
  }
  t.log(totals);
  t.true(totals.admitted > 0);
  t.true(totals.refused > 0);
  t.true(totals.committedSteps > rounds);
});
