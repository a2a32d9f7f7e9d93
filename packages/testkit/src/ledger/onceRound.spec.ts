import test from 'ava';

import { runOnceRound } from './onceRound.js';

const rounds = 150;

test('no seeded round of kills, pauses, cuts, resends and lost replies runs an order twice', async (t) => {
  const totals = { orders: 0, executions: 0, endedUnknown: 0, kills: 0, pauses: 0 };
  for (let seed = 1; seed <= rounds; seed += 1) {
    const result = await runOnceRound(seed);
    t.is(result.doubleRuns, 0, `seed ${seed}`);
    t.is(result.falseNotRun, 0, `seed ${seed}`);
    t.is(result.acceptedLost, 0, `seed ${seed}`);
    totals.orders += result.orders;
    totals.executions += result.executions;
    totals.endedUnknown += result.endedUnknown;
    totals.kills += result.kills;
    totals.pauses += result.pauses;
  }
  t.log(totals);
  t.true(totals.executions > totals.orders / 2);
});
