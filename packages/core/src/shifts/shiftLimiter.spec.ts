import test from 'ava';
import fc from 'fast-check';

import { ShiftLimiter } from './shiftLimiter.js';
import { computeZoneQuota } from './shiftQuota.js';

const zones = ['a', 'b', 'c'];
const seed = 20261204;

/** Largest number of times that lie in any one-second window. */
function largestWindow(times: readonly number[]): number {
  const sorted = [...times].sort((left, right) => left - right);
  let largest = 0;
  let first = 0;
  for (const [index, atMs] of sorted.entries()) {
    while ((sorted[first] ?? atMs) <= atMs - 1000) first += 1;
    largest = Math.max(largest, index - first + 1);
  }
  return largest;
}

test('the quotas of the zones add up to at most the cap', (t) => {
  for (const cap of [0.4, 1, 2, 10, 10.9, 200]) {
    const quotas = zones.map((zone) => computeZoneQuota(cap, zones, zone));
    const sum = quotas.reduce(
      (total, quota) => total + (quota.maxCalls * 1000) / quota.windowMs,
      0,
    );
    t.true(sum <= cap);
    t.true(sum > cap - 1);
  }
  t.is(computeZoneQuota(10, zones, 'unknown').maxCalls, 0);
});

test('a paused process admits no accumulated calls when it resumes', (t) => {
  const limiter = new ShiftLimiter({ maxCalls: 5, windowMs: 1000 }, 0);
  const admittedAt = (nowMs: number) => [...Array(20)].filter(() => limiter.admit(nowMs)).length;
  for (let nowMs = 0; nowMs <= 1000; nowMs += 100) limiter.observe(nowMs);
  t.is(admittedAt(1001), 5);
  t.is(admittedAt(61_000), 0);
  for (let nowMs = 61_100; nowMs <= 62_000; nowMs += 100) limiter.observe(nowMs);
  t.is(admittedAt(62_001), 5);
});

for (const delayVariationMs of [0, 100]) {
  const bound = delayVariationMs > 0 ? 'stay within' : 'may exceed';
  test(`with ${delayVariationMs} ms for delay variation, calls delayed by 0 to 100 ms ${bound} the cap`, (t) => {
    const limiter = new ShiftLimiter({ maxCalls: 5, windowMs: 1000 }, 0, 0, delayVariationMs);
    const arrivals: number[] = [];
    for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
      limiter.observe(nowMs);
      const delayMs = nowMs % 2000 < 1000 ? 100 : 0;
      if (limiter.admit(nowMs)) arrivals.push(nowMs + delayMs);
    }
    t.is(largestWindow(arrivals) <= 5, delayVariationMs > 0);
    t.true(arrivals.length > 100);
  });
}

for (const [pauseMs, closedMs] of [
  [200, 0],
  [300, 1000],
  [900, 1000],
  [1100, 3000],
  [60_000, 3000],
] as const) {
  test(`a pause of ${pauseMs} ms closes the limiter for ${closedMs} ms`, (t) => {
    const limiter = new ShiftLimiter({ maxCalls: 5, windowMs: 1000 }, 0, 3000);
    for (let nowMs = 0; nowMs <= 10_000; nowMs += 100) limiter.observe(nowMs);
    const resumedMs = 10_000 + pauseMs;
    let nowMs = resumedMs;
    for (; !limiter.admit(nowMs); nowMs += 50) t.true(nowMs < resumedMs + 10_000);
    t.true(nowMs - resumedMs >= closedMs);
    t.true(nowMs - resumedMs <= closedMs + 50);
  });
}

test('a smaller quota applies at once and a larger one after a delay', (t) => {
  const limiter = new ShiftLimiter({ maxCalls: 5, windowMs: 1000 }, 0);
  const admittedAt = (nowMs: number) => [...Array(20)].filter(() => limiter.admit(nowMs)).length;
  const observe = (fromMs: number, toMs: number) => {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 100) limiter.observe(nowMs);
  };
  observe(0, 1100);
  t.is(admittedAt(1100), 5);
  limiter.change({ maxCalls: 2, windowMs: 1000 }, 1200);
  observe(1200, 2200);
  t.is(admittedAt(2200), 2);
  limiter.change({ maxCalls: 9, windowMs: 1000 }, 2300);
  observe(2300, 5000);
  t.is(admittedAt(5000), 2);
  observe(5100, 13_000);
  t.is(admittedAt(13_000), 9);
});

interface Step {
  readonly kind: 'call' | 'pause' | 'takeOver' | 'cap';
  readonly pick: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.oneof(
    { weight: 60, arbitrary: fc.constant('call' as const) },
    {
      weight: 1,
      arbitrary: fc.constantFrom('pause' as const, 'takeOver' as const, 'cap' as const),
    },
  ),
  pick: fc.nat({ max: 400 }),
});

/** Calls above the highest cap in the fullest one-second window, over all zones together. */
function callsAboveCap(steps: readonly Step[]): number {
  const highestCap = 20;
  const create = (zone: string, nowMs: number) =>
    new ShiftLimiter(computeZoneQuota(highestCap, zones, zone), nowMs);
  const limiters = new Map(zones.map((zone) => [zone, create(zone, 0)]));
  const times: number[] = [];
  let nowMs = 0;
  for (const { kind, pick } of steps) {
    const zone = zones[pick % zones.length] ?? 'a';
    const limiter = limiters.get(zone);
    if (limiter === undefined) continue;
    if (kind === 'pause') nowMs += pick * 10;
    if (kind === 'takeOver') limiters.set(zone, create(zone, nowMs));
    if (kind === 'cap')
      limiter.change(computeZoneQuota(1 + (pick % highestCap), zones, zone), nowMs);
    if (kind !== 'call') continue;
    nowMs += pick % 40;
    for (const each of limiters.values()) each.observe(nowMs);
    for (let call = 0; call < pick % 30; call += 1) {
      if (limiter.admit(nowMs)) times.push(nowMs);
    }
  }
  return largestWindow(times) - highestCap;
}

test('no one-second window over all zones exceeds the cap, whatever the senders do', (t) => {
  let largestOvershoot = -Infinity;
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 200, maxLength: 400 }), (steps) => {
      largestOvershoot = Math.max(largestOvershoot, callsAboveCap(steps));
      return largestOvershoot <= 0;
    }),
    { seed, numRuns: 1000 },
  );
  t.log({ seed, largestOvershoot });
  t.is(largestOvershoot, 0);
});
