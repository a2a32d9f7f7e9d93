import test from 'ava';
import fc from 'fast-check';

import { CreditDemand, type RankPressure } from './creditDemand.js';
import { CreditIssuer, type PoolCapacity } from './creditIssuer.js';
import { HeldCredits } from './heldCredits.js';
import { LinkBudget } from './linkBudget.js';
import { listRemoteZones } from './remoteZones.js';

const idle: PoolCapacity = {
  usableSlots: 20,
  neededSlots: 0,
  expectedWaitMs: 0,
  maxWaitMs: 100,
};

function numberedIds(): () => string {
  let number = 0;
  return () => {
    number += 1;
    return `c${number}`;
  };
}

const grants: readonly { title: string; capacity: Partial<PoolCapacity>; granted: number }[] = [
  { title: 'an idle pool keeps a reserve', capacity: {}, granted: 19 },
  { title: 'needed slots are not granted', capacity: { neededSlots: 12 }, granted: 7 },
  { title: 'a busy pool grants nothing', capacity: { neededSlots: 25 }, granted: 0 },
  {
    title: 'a pool that would answer too late grants nothing',
    capacity: { expectedWaitMs: 101 },
    granted: 0,
  },
  { title: 'a pool without slots grants nothing', capacity: { usableSlots: 0 }, granted: 0 },
];

for (const { title, capacity, granted } of grants) {
  test(title, (t) => {
    const issuer = new CreditIssuer();
    const ids = issuer.grant(0, 30, { ...idle, ...capacity }, 300, 0, numberedIds());
    t.is(ids.length, granted);
  });
}

test('a credit is spent once, and not after it expired', (t) => {
  const issuer = new CreditIssuer();
  const [first = '', second = ''] = issuer.grant(0, 2, idle, 300, 0, numberedIds());
  t.deepEqual(
    [issuer.trySpend(first, 299), issuer.trySpend(first, 299), issuer.trySpend(second, 300)],
    [true, false, false],
  );
  t.false(issuer.trySpend('forged', 0));
});

test('outstanding credits never exceed the idle slots, for any sequence of requests', (t) => {
  const step = fc.record({
    passMs: fc.integer({ min: 0, max: 200 }),
    want: fc.integer({ min: 0, max: 50 }),
    rank: fc.integer({ min: 0, max: 2 }),
    spends: fc.integer({ min: 0, max: 5 }),
  });
  const property = fc.property(fc.array(step), fc.integer({ min: 0, max: 20 }), (steps, busy) => {
    const issuer = new CreditIssuer();
    const nextId = numberedIds();
    const held: string[] = [];
    let nowMs = 0;
    for (const { passMs, want, spends } of steps) {
      nowMs += passMs;
      held.push(...issuer.grant(0, want, { ...idle, neededSlots: busy }, 300, nowMs, nextId));
      if (issuer.countOutstanding(nowMs) > 20 - busy) return false;
      for (const creditId of held.splice(0, spends)) issuer.trySpend(creditId, nowMs);
    }
    return true;
  });
  t.notThrows(() => fc.assert(property, { seed: 4 }));
});

test('a held credit is used once, only for its rank and only before it expires', (t) => {
  const heldCredits = new HeldCredits();
  const credit = (creditId: string, rank: number, useBeforeMs: number) => ({
    creditId,
    hostId: `host-${creditId}`,
    availabilityZone: 'lagos-b',
    rank,
    useBeforeMs,
  });
  heldCredits.add([credit('a', 0, 100), credit('b', 0, 200), credit('c', 1, 200)]);
  const take = (rank: number, nowMs: number, excluded = '') =>
    heldCredits.take(rank, nowMs, (hostId) => hostId === excluded)?.creditId;
  t.deepEqual(
    [take(0, 100), take(0, 100), take(1, 150, 'host-c'), take(1, 150)],
    ['b', undefined, undefined, 'c'],
  );
});

test('a link never carries more than its limit and one burst', (t) => {
  const property = fc.property(
    fc.array(
      fc.record({
        passMs: fc.integer({ min: 0, max: 50 }),
        bytes: fc.integer({ min: 1, max: 9000 }),
      }),
    ),
    (steps) => {
      const budget = new LinkBudget(1_000_000, 0);
      let nowMs = 0;
      let sentBytes = 0;
      for (const { passMs, bytes } of steps) {
        nowMs += passMs;
        if (budget.trySpend(bytes, nowMs)) sentBytes += bytes;
      }
      return sentBytes <= 200_000 + nowMs * 1000;
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 4 }));
});

const network = {
  regions: [
    { id: 'lagos', availabilityZones: ['lagos-a', 'lagos-b'] },
    { id: 'abuja', availabilityZones: ['abuja-a'] },
    { id: 'harcourt', availabilityZones: ['harcourt-a'] },
  ],
  links: [
    { from: 'lagos', to: 'abuja', oneWayDelayMs: 55, linkBytesPerS: 1e9 },
    { from: 'harcourt', to: 'lagos', oneWayDelayMs: 30, linkBytesPerS: 1e9 },
  ],
  zoneDelayMs: 3.5,
  callerDelayMs: 1,
};

test('zones of the own region come first, then others by delay; closed zones are left out', (t) => {
  const zonesOf = (isOpen: (region: string, zone: string) => boolean) =>
    listRemoteZones(network, 'lagos', 'lagos-a', isOpen).map((zone) => zone.availabilityZone);
  t.deepEqual(
    zonesOf(() => true),
    ['lagos-b', 'harcourt-a', 'abuja-a'],
  );
  t.deepEqual(
    zonesOf((region) => region !== 'harcourt'),
    ['lagos-b', 'abuja-a'],
  );
});

const pressure: RankPressure = {
  rank: 0,
  waitingCalls: 10,
  callsAwaitingCredit: 0,
  expectedWaitMs: 40,
  availableCredits: 0,
  maxWaitMs: 200,
};

const demands: readonly { title: string; pressure: Partial<RankPressure>; asked: unknown }[] = [
  {
    title: 'a pool without pressure requests no credits',
    pressure: { waitingCalls: 0, expectedWaitMs: 0 },
    asked: [],
  },
  {
    title: 'a pool under pressure requests credits from its own region',
    pressure: {},
    asked: [['lagos-b', 7]],
  },
  {
    title: 'calls that only another zone can answer lead to a request',
    pressure: { waitingCalls: 0, expectedWaitMs: 0, callsAwaitingCredit: 2 },
    asked: [['lagos-b', 2]],
  },
  { title: 'available credits lower the demand', pressure: { availableCredits: 7 }, asked: [] },
  {
    title: 'a zone that is too far away gets no request',
    pressure: { maxWaitMs: 5 },
    asked: [],
  },
];

for (const { title, pressure: more, asked } of demands) {
  test(title, (t) => {
    const zones = listRemoteZones(network, 'lagos', 'lagos-a', () => true);
    const asks = new CreditDemand().next([{ ...pressure, ...more }], zones, 0);
    t.deepEqual(
      asks.map((ask) => [ask.zone.availabilityZone, ask.want]),
      asked,
    );
  });
}

test('requests to a zone that grants nothing back off, and the next zone is asked instead', (t) => {
  const demand = new CreditDemand();
  const zones = listRemoteZones(network, 'lagos', 'lagos-a', () => true);
  const withoutSlot = { ...pressure, callsAwaitingCredit: 5 };
  const asked: string[] = [];
  for (let nowMs = 0; nowMs < 500; nowMs += 5) {
    for (const ask of demand.next([withoutSlot], zones, nowMs)) {
      asked.push(`${nowMs} ${ask.zone.availabilityZone}`);
      demand.recordAnswer(ask, 0, 0, nowMs);
    }
  }
  t.snapshot(asked);
});
