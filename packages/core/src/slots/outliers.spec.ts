import test from 'ava';

import type { CallOutcome } from '@buckthornlug/protocol/steering/placementTypes.js';

import { BackendSlots } from './backendSlots.js';
import { ejectOutlier } from './ejections.js';
import { defaultOutlierLimits } from './outliers.js';
import { findPoolOwner, rankPoolHosts } from './poolOwner.js';

const good: CallOutcome = { result: 'answered', status: 200, elapsedMs: 40 };

function backends(count: number): BackendSlots[] {
  const timing = { leaseMs: 2000, guardMs: 0, formerOwnerCallMs: 0, slowStartMs: 0 };
  return Array.from(
    { length: count },
    (_, index) => new BackendSlots(`b${index}`, 'host-1', timing, defaultOutlierLimits),
  );
}

function answer(backend: BackendSlots, outcome: CallOutcome, times: number): void {
  for (let time = 0; time < times; time += 1) {
    backend.acquire();
    backend.release(outcome);
  }
}

const faults: readonly { fault: string; outcome: CallOutcome; times: number; ejected: boolean }[] =
  [
    { fault: 'resets', outcome: { result: 'broken', elapsedMs: 1 }, times: 5, ejected: true },
    { fault: 'timeouts', outcome: { result: 'timedOut', elapsedMs: 900 }, times: 5, ejected: true },
    {
      fault: 'suspiciously fast errors',
      outcome: { result: 'answered', status: 500, elapsedMs: 1 },
      times: 5,
      ejected: true,
    },
    {
      fault: 'answers far slower than those of its peers',
      outcome: { ...good, elapsedMs: 400 },
      times: 30,
      ejected: true,
    },
    {
      fault: 'slightly slower answers',
      outcome: { ...good, elapsedMs: 80 },
      times: 30,
      ejected: false,
    },
    {
      fault: 'a few resets',
      outcome: { result: 'broken', elapsedMs: 1 },
      times: 4,
      ejected: false,
    },
    {
      fault: 'calls whose callers hung up',
      outcome: { result: 'cancelled', elapsedMs: 9 },
      times: 50,
      ejected: false,
    },
    {
      fault: 'refusals before a call runs',
      outcome: { result: 'notRun', elapsedMs: 1 },
      times: 50,
      ejected: false,
    },
    {
      fault: 'client error answers',
      outcome: { ...good, status: 404 },
      times: 50,
      ejected: false,
    },
  ];

for (const { fault, outcome, times, ejected } of faults) {
  test(`a backend server with ${fault} is ${ejected ? 'ejected' : 'kept'}`, (t) => {
    const pool = backends(4);
    for (const backend of pool) answer(backend, good, 25);
    const [suspect] = pool as [BackendSlots];
    answer(suspect, outcome, times);
    t.is(ejectOutlier(pool, suspect, defaultOutlierLimits, 0), ejected);
  });
}

test('at least half of a pool is never ejected, and neither is a single backend server', (t) => {
  const ejected = [1, 2, 3, 4, 6].map((size) => {
    const pool = backends(size);
    for (const backend of pool) answer(backend, { result: 'broken', elapsedMs: 1 }, 5);
    return pool.filter((backend) => ejectOutlier(pool, backend, defaultOutlierLimits, 0)).length;
  });
  t.deepEqual(ejected, [0, 1, 1, 2, 3]);
});

test('an ejected backend server returns through probation, and each ejection is longer', (t) => {
  const pool = backends(2);
  const [suspect] = pool as [BackendSlots];
  answer(suspect, { result: 'broken', elapsedMs: 1 }, 5);
  ejectOutlier(pool, suspect, defaultOutlierLimits, 0);
  const standings = [suspect.standing(1999), suspect.standing(2000)];
  answer(suspect, { result: 'broken', elapsedMs: 1 }, 1);
  ejectOutlier(pool, suspect, defaultOutlierLimits, 2000);
  standings.push(suspect.standing(5999), suspect.standing(6000));
  answer(suspect, { result: 'outpaced', elapsedMs: 200 }, 3);
  standings.push(suspect.standing(6000));
  answer(suspect, good, 3);
  standings.push(suspect.standing(6001));
  t.deepEqual(standings, ['ejected', 'probation', 'ejected', 'probation', 'probation', 'in']);
});

test('a pool changes its owner only when the owner leaves', (t) => {
  const hosts = ['h1', 'h2', 'h3', 'h4'];
  const [owner = '', second] = rankPoolHosts('lagos-a', 'parts-desk', hosts);
  t.is(findPoolOwner('lagos-a', 'parts-desk', [...hosts].reverse()), owner);
  const without = hosts.filter((hostId) => hostId !== owner);
  t.is(findPoolOwner('lagos-a', 'parts-desk', without), second);
  t.is(findPoolOwner('lagos-a', 'parts-desk', []), undefined);
});

test('pools spread over the hosts of a zone', (t) => {
  const owners = Array.from({ length: 200 }, (_, index) =>
    findPoolOwner('lagos-a', `service-${index}`, ['host-lagos-a-1', 'host-lagos-a-2']),
  );
  const first = owners.filter((owner) => owner === 'host-lagos-a-1').length;
  t.true(first > 60 && first < 140, `${first} of 200 pools are at the first host`);
});
