import test from 'ava';
import fc from 'fast-check';

import type { CallOutcome, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

import { isRepeatable, RetryBudget } from './retryBudget.js';

const call: PendingCall = {
  requestId: 'r1',
  service: 'yardboard',
  kind: 'listing',
  rank: 0,
  execution: 'idempotent',
  arrivedAtMs: 0,
  targetAtMs: 250,
  deadlineAtMs: 750,
  attempt: 1,
  excluded: [],
  origin: 'caller',
  originRegion: 'seq',
  signal: new AbortController().signal,
};

const cases: readonly {
  readonly title: string;
  readonly call?: Partial<PendingCall>;
  readonly result: CallOutcome['result'];
  readonly nowMs?: number;
  readonly repeatable: boolean;
}[] = [
  { title: 'idempotent work that broke', result: 'broken', repeatable: true },
  {
    title: 'once-only work that broke',
    call: { execution: 'once' },
    result: 'broken',
    repeatable: false,
  },
  {
    title: 'single work that timed out',
    call: { execution: 'single' },
    result: 'timedOut',
    repeatable: false,
  },
  {
    title: 'once-only work proved not run',
    call: { execution: 'once' },
    result: 'notRun',
    repeatable: true,
  },
  { title: 'answered work', result: 'answered', repeatable: false },
  { title: 'work whose caller hung up', result: 'cancelled', repeatable: false },
  { title: 'work that another attempt answered', result: 'outpaced', repeatable: false },
  {
    title: 'work that cannot end before its deadline',
    result: 'broken',
    nowMs: 720,
    repeatable: false,
  },
  {
    title: 'work that another host took from its caller',
    call: { origin: 'zonePeer' },
    result: 'notRun',
    repeatable: false,
  },
];

for (const { title, call: more, result, nowMs, repeatable } of cases) {
  test(`${title} is ${repeatable ? 'repeated' : 'not repeated'}`, (t) => {
    const outcome: CallOutcome = { result, elapsedMs: 5 };
    t.is(isRepeatable({ ...call, ...more }, outcome, nowMs ?? 100, 40), repeatable);
  });
}

test('repeated dispatches never pass a tenth of the calls and one burst', (t) => {
  const property = fc.property(fc.array(fc.boolean(), { maxLength: 2000 }), (asksForRetry) => {
    const budget = new RetryBudget(100, 10);
    let retries = 0;
    let calls = 0;
    for (const asks of asksForRetry) {
      budget.noteCall();
      calls += 1;
      if (asks && budget.spend()) retries += 1;
      if (!asks && budget.spendOnHedge()) retries += 1;
    }
    return retries <= 10 + calls / 10;
  });
  t.notThrows(() => fc.assert(property, { seed: 4 }));
});

test('hedges leave half of the saved budget to retries', (t) => {
  const budget = new RetryBudget(100, 10);
  let hedges = 0;
  while (budget.spendOnHedge()) hedges += 1;
  let retries = 0;
  while (budget.spend()) retries += 1;
  t.deepEqual([hedges, retries], [5, 5]);
});
