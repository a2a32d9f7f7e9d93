import test from 'ava';
import fc from 'fast-check';

import type { CallOutcome, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

import { isRetryable, RetryBudget } from './retryBudget.js';

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
  readonly retryable: boolean;
}[] = [
  { title: 'idempotent work that broke off', result: 'broken', retryable: true },
  {
    title: 'once-only work that broke off',
    call: { execution: 'once' },
    result: 'broken',
    retryable: false,
  },
  {
    title: 'single work that timed out',
    call: { execution: 'single' },
    result: 'timedOut',
    retryable: false,
  },
  {
    title: 'once-only work that is proven not to have run',
    call: { execution: 'once' },
    result: 'notRun',
    retryable: true,
  },
  { title: 'answered work', result: 'answered', retryable: false },
  { title: 'work whose caller hung up', result: 'cancelled', retryable: false },
  { title: 'work that another attempt answered', result: 'outpaced', retryable: false },
  {
    title: 'work that cannot end before its deadline',
    result: 'broken',
    nowMs: 720,
    retryable: false,
  },
  {
    title: 'work that another host took from its caller',
    call: { origin: 'zonePeer' },
    result: 'notRun',
    retryable: false,
  },
];

for (const { title, call: more, result, nowMs, retryable } of cases) {
  test(`${title} is ${retryable ? 'repeated' : 'not repeated'}`, (t) => {
    const outcome: CallOutcome = { result, elapsedMs: 5 };
    t.is(isRetryable({ ...call, ...more }, outcome, nowMs ?? 100, 40), retryable);
  });
}

test('repeated dispatches never exceed a tenth of the calls and one burst', (t) => {
  const property = fc.property(fc.array(fc.boolean(), { maxLength: 2000 }), (asksForRetry) => {
    const budget = new RetryBudget(100, 10);
    let retries = 0;
    let calls = 0;
    for (const asks of asksForRetry) {
      budget.recordCall();
      calls += 1;
      if (asks && budget.trySpend()) retries += 1;
      if (!asks && budget.trySpendOnHedge()) retries += 1;
    }
    return retries <= 10 + calls / 10;
  });
  t.notThrows(() => fc.assert(property, { seed: 4 }));
});

test('hedges leave half of the burst to retries', (t) => {
  const budget = new RetryBudget(100, 10);
  let hedges = 0;
  while (budget.trySpendOnHedge()) hedges += 1;
  let retries = 0;
  while (budget.trySpend()) retries += 1;
  t.deepEqual([hedges, retries], [5, 5]);
});

test('hosts that started with few others in view have saved no more than the burst of all together', (t) => {
  const burst = 242;
  const hosts = Array.from({ length: 100 }, () => new RetryBudget(100, burst / 10));
  for (const budget of hosts) budget.setBurst(burst / hosts.length);
  let spent = 0;
  for (const budget of hosts) while (budget.trySpend()) spent += 1;
  t.true(spent <= burst, `${spent} repeated dispatches`);
});
