import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';
import test from 'ava';
import fc from 'fast-check';

import { initialSplit } from './initialSplit.js';
import { movedShare } from './regionShares.js';
import { SplitInForce } from './splitInForce.js';

const maxShift = 0.15;
const maxMoved = maxShift / 3;
const tinyShare = 1e-9;
const capWindowMs = 2000;
/** A time at which a host that started at 0 has long been taking calls. */
const settledMs = 60_000;
const fair = new Map([
  ['north', 10],
  ['south', 10],
]);
const few = new Map([
  ['north', 2],
  ['south', 18],
]);
const southOnly = new Map([['south', 10]]);

const northSplit = () => new SplitInForce('north', maxShift, 0);

/** A split that has followed a plan since the start of the host. */
function following(planned: RegionShares): SplitInForce {
  const split = northSplit();
  split.set(planned, fair, 0);
  split.set(planned, fair, settledMs);
  return split;
}

test('without a plan the initial split is in force', (t) => {
  const split = northSplit();
  split.set(undefined, few, 0);
  t.deepEqual(split.at(10), initialSplit('north', few));
});

test('a host that starts follows the plan and the backend servers at once', (t) => {
  const split = northSplit();
  split.set(undefined, few, 0);
  split.set(undefined, fair, 1000);
  t.deepEqual(split.at(1000), initialSplit('north', fair));
  split.set({ north: 0.3, south: 0.7 }, fair, 2000);
  t.is(movedShare(split.at(2000), { north: 0.3, south: 0.7 }), 0);
});

test('a host that has taken calls without a plan follows the first one within the cap', (t) => {
  const split = northSplit();
  split.set(undefined, fair, 0);
  split.set({ south: 1 }, fair, settledMs);
  t.is(movedShare(split.at(settledMs), { north: 1 }), 0);
  const moved = movedShare(split.at(settledMs + capWindowMs), { north: 1 });
  t.true(moved > 0 && moved <= maxMoved);
});

test('a step of the plan is reached within the window of the cap', (t) => {
  const split = following({ north: 1 });
  const next = { north: 1 - maxShift / 4, south: maxShift / 4 };
  split.set(next, fair, settledMs);
  t.is(movedShare(split.at(settledMs), { north: 1 }), 0);
  t.true(movedShare(split.at(settledMs + capWindowMs), next) < tinyShare);
});

test('a region without backend servers is left at once', (t) => {
  const split = following({ north: 0.8, south: 0.2 });
  split.set({ north: 0.8, south: 0.2 }, southOnly, settledMs);
  t.deepEqual(split.at(settledMs), { south: 1 });
});

test('a plan whose regions have all lost their backend servers leaves the initial split', (t) => {
  const split = following({ north: 1 });
  split.set({ north: 1 }, southOnly, settledMs);
  t.deepEqual(split.at(settledMs), { south: 1 });
});

test('a plan made before backend servers were known leaves the initial split in force', (t) => {
  const split = northSplit();
  split.set({}, new Map(), settledMs);
  split.set({}, few, settledMs + 1000);
  t.deepEqual(split.at(settledMs + 1000), initialSplit('north', few));
});

test('without any backend server there is no split', (t) => {
  const split = following({ north: 1 });
  split.set({ north: 1 }, new Map(), settledMs);
  t.deepEqual(split.at(settledMs), {});
});

const count = fc.integer({ min: 1, max: 9 });
const sharesArbitrary = fc.tuple(count, count, count).map(([north, south, west]): RegionShares => {
  const sum = north + south + west;
  return { north: north / sum, south: south / sum, west: west / sum };
});
const changeArbitrary = fc.record({
  afterMs: fc.integer({ min: 0, max: 3000 }),
  planned: fc.option(sharesArbitrary, { nil: undefined }),
  slots: fc.tuple(count, count, count),
});

test('whatever is planned, at most a third of the cap moves within its window', (t) => {
  const property = fc.property(fc.array(changeArbitrary, { maxLength: 30 }), (changes) => {
    const split = following({ north: 1 });
    const seen = [{ atMs: settledMs, shares: split.at(settledMs) }];
    let atMs = settledMs;
    for (const { afterMs, planned, slots } of changes) {
      atMs += afterMs;
      const [north, south, west] = slots;
      split.set(planned, new Map(Object.entries({ north, south, west })), atMs);
      seen.push({ atMs, shares: split.at(atMs) });
    }
    for (const [index, from] of seen.entries()) {
      for (const to of seen.slice(index + 1)) {
        if (to.atMs - from.atMs > capWindowMs) break;
        if (movedShare(from.shares, to.shares) > maxMoved + tinyShare) return false;
      }
    }
    return true;
  });
  t.notThrows(() => fc.assert(property, { numRuns: 300 }));
});
