import {
  regionPlanSchema,
  type RegionDemand,
  type RegionPlan,
  type RegionShares,
} from '@buckthornlug/protocol/routing/regionPlanSchema.js';
import test from 'ava';
import fc from 'fast-check';

import { RegionPlanner, type PlanInputs } from './regionPlanner.js';
import { movedShare } from './regionShares.js';

const maxShift = 0.15;
const capWindowMs = 2000;
const maxMoved = maxShift / 4;
const tinyShare = 1e-9;
const service = 'desk';

/** Slots by region. */
type Slots = Readonly<Record<string, number>>;

const fair: Slots = { north: 24, south: 24, west: 24 };
const few: Slots = { north: 6, south: 33, west: 33 };

/** What the hosts of the north report in a second. */
interface Traffic {
  /** Slots of the north that all of its calls would use. */
  readonly busySlots: number;
  /** Load of the other regions; 0.5 if absent. */
  readonly otherLoadPerSlot?: number;
  /** Loads of single other regions. */
  readonly loadPerSlot?: Readonly<Record<string, number>>;
  readonly offeredCalls?: number;
  readonly activeObjects?: number;
}

function inputsFor(slots: Slots, objectCapacity = 1000): PlanInputs {
  return {
    services: [service],
    slotsFor: () => new Map(Object.entries(slots)),
    objectCapacity: () => objectCapacity,
    callerRegions: ['north'],
  };
}

function sharesOf(splits: RegionPlan['splits']): RegionShares {
  const [split] = splits;
  if (split === undefined) throw new Error('no split was planned');
  return split.shares;
}

/** Report of a second in which calls ran as the shares say. */
function reportOf(slots: Slots, shares: RegionShares, traffic: Traffic): RegionDemand {
  const { busySlots, otherLoadPerSlot = 0.5, loadPerSlot = {}, activeObjects = 88 } = traffic;
  const { offeredCalls = 200 } = traffic;
  const runs: Record<string, number> = {};
  const loads: RegionDemand['loads'] = {};
  for (const [region, count] of Object.entries(slots)) {
    const share = shares[region] ?? 0;
    runs[region] = share * offeredCalls;
    const load = loadPerSlot[region] ?? otherLoadPerSlot;
    const calls = region === 'north' ? share * busySlots : load * count;
    loads[region] = { calls, slots: count };
  }
  return { service, callerRegion: 'north', offeredCalls, runs, loads, activeObjects };
}

/** A planner of the calls of the north that gets a report and makes a step each second. */
class PlannedNorth {
  readonly planner = new RegionPlanner(maxShift);

  shares: RegionShares = {};

  private second = 0;

  /** Steps without reports if there is no traffic; returns the shares after each step. */
  run(seconds: number, inputs: PlanInputs, traffic?: Traffic): RegionShares[] {
    const slots = Object.fromEntries(inputs.slotsFor(service, 'north'));
    const steps: RegionShares[] = [];
    // The first calls run by the initial split.
    if (this.second === 0) this.shares = sharesOf(this.planner.step(inputs, 0));
    for (let index = 0; index < seconds; index += 1) {
      this.second += 1;
      if (traffic !== undefined) this.planner.record([reportOf(slots, this.shares, traffic)]);
      this.shares = sharesOf(this.planner.step(inputs, 1000 * this.second));
      steps.push(this.shares);
    }
    return steps;
  }
}

test('a region with its fair part of the slots keeps all of its calls', (t) => {
  const steps = new PlannedNorth().run(30, inputsFor(fair), { busySlots: 10 });
  for (const shares of steps) t.is(shares.north, 1);
});

test('a region with few slots starts with few calls, then uses most but not all of its slots', (t) => {
  const busySlots = 9;
  const north = new PlannedNorth();
  const steps = north.run(30, inputsFor(few), { busySlots });
  t.true((steps[0]?.north ?? 1) < 0.4);
  steps.push(...north.run(300, inputsFor(few), { busySlots }));
  for (const shares of steps.slice(29)) {
    const usedPart = ((shares.north ?? 1) * busySlots) / 6;
    t.true(usedPart > 0.5 && usedPart < 0.8, `${usedPart}`);
  }
});

test('a region with few slots and few calls gets all of its calls back', (t) => {
  const steps = new PlannedNorth().run(200, inputsFor(few), { busySlots: 2 });
  t.true((steps.at(-1)?.north ?? 0) > 0.95);
});

test('a region keeps its calls while the other regions are busier', (t) => {
  const traffic = { busySlots: 30, otherLoadPerSlot: 1.5 };
  const steps = new PlannedNorth().run(30, inputsFor(fair), traffic);
  for (const shares of steps) t.is(shares.north, 1);
});

test('without other regions a region keeps all of its calls', (t) => {
  const north = new PlannedNorth();
  north.run(10, inputsFor(fair), { busySlots: 60 });
  t.true((north.shares.north ?? 1) < 1);
  north.run(1, inputsFor({ north: 24 }), { busySlots: 60 });
  t.deepEqual(north.shares, { north: 1 });
});

test('a region keeps no more calls than it has room for warm objects', (t) => {
  const traffic = { busySlots: 10, activeObjects: 100 };
  const steps = new PlannedNorth().run(120, inputsFor(fair, 40), traffic);
  const share = steps.at(-1)?.north ?? 1;
  t.true(share >= 0.4 && share <= 0.45, `${share}`);
});

test('an overloaded region moves calls, by less than the cap within its window', (t) => {
  const north = new PlannedNorth();
  north.run(5, inputsFor(fair), { busySlots: 10 });
  const steps = north.run(20, inputsFor(fair, 20), { busySlots: 96 });
  let before = 1;
  for (let index = 1; index < steps.length; index += 2) {
    const share = steps[index]?.north ?? 1;
    t.true(share < before);
    t.true(before - share <= maxMoved + tinyShare);
    before = share;
  }
});

test('a step after a long pause moves no more than one within the window of the cap', (t) => {
  const north = new PlannedNorth();
  north.run(5, inputsFor(fair), { busySlots: 10 });
  const report = reportOf(fair, north.shares, { busySlots: 96, offeredCalls: 20_000 });
  north.planner.record([report]);
  const after = sharesOf(north.planner.step(inputsFor(fair), 60_000));
  t.true(Math.abs(movedShare(north.shares, after) - maxMoved) < tinyShare);
});

test('a full region gets fewer of the calls that leave another one', (t) => {
  const traffic = { busySlots: 96, loadPerSlot: { south: 1.5, west: 0.1 } };
  const { south = 0, west = 0 } = new PlannedNorth().run(20, inputsFor(fair), traffic).at(-1) ?? {};
  t.true(south > 0);
  t.true(south < west / 3, `${south} ${west}`);
});

test('a region without backend servers is left at once, in the proportions of the others', (t) => {
  const north = new PlannedNorth();
  north.run(60, inputsFor(few), { busySlots: 20 });
  const { south = 0, west = 0 } = north.shares;
  north.run(1, inputsFor({ south: 33, west: 33 }), { busySlots: 20 });
  t.deepEqual(Object.keys(north.shares).sort(), ['south', 'west']);
  t.true(Math.abs((north.shares.south ?? 0) - south / (south + west)) < tinyShare);
});

test('a region whose only planned region is lost starts again with the initial split', (t) => {
  const north = new PlannedNorth();
  north.run(5, inputsFor(fair), { busySlots: 10 });
  north.run(1, inputsFor({ south: 10, west: 30 }), { busySlots: 10 });
  t.deepEqual(north.shares, { south: 0.25, west: 0.75 });
});

test('a region whose backend servers return gets its calls back in steps', (t) => {
  const north = new PlannedNorth();
  north.run(5, inputsFor(fair), { busySlots: 10 });
  north.run(10, inputsFor({ south: 24, west: 24 }), { busySlots: 10 });
  t.is(north.shares.north, undefined);
  const steps = north.run(300, inputsFor(fair), { busySlots: 10 });
  for (const [index, shares] of steps.entries()) {
    const before = steps[index - 2] ?? { south: 0.5, west: 0.5 };
    t.true(movedShare(before, shares) <= maxMoved + tinyShare);
  }
  t.true((steps.at(-1)?.north ?? 0) > 0.95);
});

test('calls of a region without backend servers leave a full region', (t) => {
  const traffic = { busySlots: 0, loadPerSlot: { south: 1.5, west: 0.1 } };
  const steps = new PlannedNorth().run(60, inputsFor({ south: 24, west: 24 }), traffic);
  t.true((steps.at(-1)?.south ?? 1) < 0.4, `${steps.at(-1)?.south}`);
});

test('calls of a region without backend servers use a region that is new', (t) => {
  const north = new PlannedNorth();
  north.run(5, inputsFor({ south: 24 }), { busySlots: 0 });
  const steps = north.run(60, inputsFor({ south: 24, west: 24 }), { busySlots: 0 });
  t.true((steps.at(-1)?.west ?? 0) > 0.4, `${steps.at(-1)?.west}`);
});

test('without reports the plan stays as it is', (t) => {
  const north = new PlannedNorth();
  north.run(30, inputsFor(few), { busySlots: 12 });
  const held = north.shares;
  for (const shares of north.run(60, inputsFor(few))) t.is(movedShare(held, shares), 0);
});

test('without reports every plan stays exactly as it is, so that no new one is issued', (t) => {
  const weights = fc.array(fc.integer({ min: 1, max: 1000 }), { minLength: 2, maxLength: 27 });
  const property = fc.property(weights, (counts) => {
    const sum = counts.reduce((left, right) => left + right, 0);
    const shares = Object.fromEntries(counts.map((count, index) => [`r${index}`, count / sum]));
    const slots = Object.fromEntries(Object.keys(shares).map((region) => [region, 5]));
    const next = new PlannedNorth();
    next.planner.adopt({ issue: 7, splits: [{ service, callerRegion: 'north', shares }] });
    return next.run(5, inputsFor(slots)).every((step) => movedShare(shares, step) === 0);
  });
  t.notThrows(() => fc.assert(property, { numRuns: 300 }));
});

test('reports of fewer than twenty calls move nothing', (t) => {
  const traffic = { busySlots: 60, offeredCalls: 3 };
  for (const shares of new PlannedNorth().run(30, inputsFor(fair), traffic)) t.is(shares.north, 1);
});

test('noise below the deadband moves nothing', (t) => {
  const north = new PlannedNorth();
  // With room for 40 warm objects, 100 objects give the held home share of 0.4.
  const held = { north: 0.4, south: 0.3, west: 0.3 };
  north.planner.adopt({ issue: 7, splits: [{ service, callerRegion: 'north', shares: held }] });
  north.shares = held;
  for (let index = 0; index < 60; index += 1) {
    const traffic = { busySlots: 30, activeObjects: index % 2 === 0 ? 102 : 98 };
    for (const shares of north.run(1, inputsFor(fair, 40), traffic)) {
      t.is(movedShare(held, shares), 0);
    }
  }
});

test('an overloaded region settles near the load above which calls leave', (t) => {
  const steps = new PlannedNorth().run(200, inputsFor(few), { busySlots: 20 });
  const load = ((steps.at(-1)?.north ?? 1) * 20) / 6;
  t.true(load > 0.5 && load < 0.7, `${load}`);
});

test('a region with few calls takes some back, up to a load below that', (t) => {
  const traffic = { busySlots: 6, otherLoadPerSlot: 0.1 };
  const steps = new PlannedNorth().run(200, inputsFor(few), traffic);
  const load = ((steps.at(-1)?.north ?? 1) * 6) / 6;
  t.true(load > 0.35 && load < 0.6, `${load}`);
});

test('a new leader goes on from the plan that it holds', (t) => {
  const former = new PlannedNorth();
  former.run(60, inputsFor(fair), { busySlots: 60 });
  const { shares } = former;
  t.true((shares.north ?? 1) < 0.7);
  const next = new PlannedNorth();
  next.planner.adopt({ issue: 7, splits: [{ service, callerRegion: 'north', shares }] });
  next.run(1, inputsFor(fair));
  t.true(movedShare(shares, next.shares) < tinyShare);
  next.run(2, inputsFor(fair), { busySlots: 60 });
  t.true(movedShare(shares, next.shares) <= maxMoved + tinyShare);
});

test('a service that is gone is left out of the plan, and starts anew when it returns', (t) => {
  const north = new PlannedNorth();
  north.run(60, inputsFor(fair), { busySlots: 60 });
  const gone = { ...inputsFor(fair), services: [] };
  t.deepEqual(north.planner.step(gone, 61_000), []);
  t.is(sharesOf(north.planner.step(inputsFor(fair), 62_000)).north, 1);
});

const regions = ['north', 'south', 'west'];
const amount = fc.oneof(fc.constant(0), fc.double({ min: 0, max: 500, noNaN: true }));
const stepArbitrary = fc.record({
  afterMs: fc.integer({ min: 1, max: 5000 }),
  slots: fc.tuple(...regions.map(() => fc.integer({ min: 1, max: 60 }))),
  objectCapacity: fc.integer({ min: 0, max: 400 }),
  reports: fc.array(
    fc.record({
      offeredCalls: amount,
      runs: fc.dictionary(fc.constantFrom(...regions), amount),
      loads: fc.dictionary(
        fc.constantFrom(...regions),
        fc.record({ calls: amount, slots: fc.integer({ min: 0, max: 60 }) }),
      ),
      activeObjects: amount,
    }),
    { maxLength: 3 },
  ),
});

type RandomStep = typeof stepArbitrary extends fc.Arbitrary<infer Step> ? Step : never;

/** Plans of steps with random reports, after a first report with calls. */
function planRandomly(steps: readonly RandomStep[]) {
  const planner = new RegionPlanner(maxShift);
  planner.record([reportOf(fair, {}, { busySlots: 10 })]);
  const plans: { readonly atMs: number; readonly splits: RegionPlan['splits'] }[] = [];
  let atMs = 0;
  for (const { afterMs, slots, objectCapacity, reports } of steps) {
    atMs += afterMs;
    planner.record(reports.map((report) => ({ service, callerRegion: 'north', ...report })));
    const byRegion = Object.fromEntries(
      regions.map((region, index) => [region, slots[index] ?? 1]),
    );
    plans.push({ atMs, splits: planner.step(inputsFor(byRegion, objectCapacity), atMs) });
  }
  return plans;
}

test('whatever is reported, the plan moves at most a quarter of the cap within its window', (t) => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
    const plans = planRandomly(steps);
    for (const [index, from] of plans.entries()) {
      for (const to of plans.slice(index + 1)) {
        if (to.atMs - from.atMs > capWindowMs) break;
        const moved = movedShare(sharesOf(from.splits), sharesOf(to.splits));
        if (moved > maxMoved + tinyShare) return false;
      }
    }
    return true;
  });
  t.notThrows(() => fc.assert(property, { numRuns: 300 }));
});

test('whatever is reported, the plan passes its schema and its shares add up to 1', (t) => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
    for (const { atMs, splits } of planRandomly(steps)) {
      if (!regionPlanSchema.safeParse({ issue: atMs, splits }).success) return false;
      const sum = Object.values(sharesOf(splits)).reduce((left, right) => left + right, 0);
      if (Math.abs(sum - 1) > tinyShare) return false;
    }
    return true;
  });
  t.notThrows(() => fc.assert(property, { numRuns: 300 }));
});
