import { ShiftLimiter } from '@buckthornlug/core/shifts/shiftLimiter.js';
import { computeZoneQuota } from '@buckthornlug/core/shifts/shiftQuota.js';
import test from 'ava';
import fc from 'fast-check';

import type { DocumentInForce } from '../runtime/hostTypes.js';
import { ShiftAdmission, type ShiftAdmissionParts } from './shiftAdmission.js';

const services = ['parts-desk', 'pickups', 'stock'];
const slotLeaseMs = 2000;
const takeoverDelayMs = 1000;
const delayVariationMs = 100;

/** Test state that both admissions read: time, caps of services and owners of pools. */
function createWorld() {
  const world = {
    nowMs: 0,
    owners: {} as Readonly<Record<string, string>>,
    ownersVersion: 0,
    inForce: undefined as DocumentInForce | undefined,
    setCaps: (caps: Readonly<Record<string, number>>) => {
      const names = Object.keys(caps);
      const traffic = Object.entries(caps).map(([service, maxShiftedCallsPerS]) => [
        service,
        { shiftCap: { maxShiftedCallsPerS } },
      ]);
      const document = {
        services: Object.fromEntries(names.map((service) => [service, {}])),
        traffic: Object.fromEntries(traffic),
        network: { regions: [{ id: 'lagos', availabilityZones: ['lagos-a', 'lagos-b'] }] },
      };
      world.inForce = { version: 1, document } as unknown as DocumentInForce;
    },
    setOwners: (owners: Readonly<Record<string, string>>) => {
      world.owners = owners;
      world.ownersVersion += 1;
    },
  };
  return world;
}

type World = ReturnType<typeof createWorld>;

function createParts(world: World): ShiftAdmissionParts {
  const settings = {
    hostId: 'self',
    region: 'lagos',
    availabilityZone: 'lagos-a',
    timing: { slotLeaseMs },
  };
  const context = {
    settings,
    clock: { nowMs: () => world.nowMs },
    metrics: { count: () => undefined },
  } as unknown as ShiftAdmissionParts['context'];
  return {
    context,
    document: { current: () => world.inForce },
    poolOwner: (_zone, service) => world.owners[service],
    ownersVersion: () => world.ownersVersion,
  };
}

/** Reference for `ShiftAdmission` that refreshes every service at each observation. */
class FullScanAdmission {
  private readonly limiters = new Map<string, readonly ShiftLimiter[]>();

  constructor(private readonly world: World) {}

  observe(): void {
    const known = this.world.inForce?.document.services ?? {};
    for (const service of Object.keys(known)) this.refreshLimiters(service);
    for (const service of this.limiters.keys()) {
      if (known[service] === undefined) this.limiters.delete(service);
    }
  }

  /** Time after which a call may be admitted; undefined if it is admitted now. */
  retryAfterMsOf(service: string, index: 0 | 1): number | undefined {
    const { nowMs } = this.world;
    const limiter = this.refreshLimiters(service)?.[index];
    if (limiter?.admit(nowMs)) return undefined;
    return limiter?.retryAfterMs(nowMs) ?? takeoverDelayMs;
  }

  private refreshLimiters(service: string): readonly ShiftLimiter[] | undefined {
    const { nowMs, owners } = this.world;
    const document = this.world.inForce?.document;
    const cap = document?.traffic[service]?.shiftCap.maxShiftedCallsPerS;
    if ((owners[service] ?? 'self') !== 'self' || cap === undefined) {
      this.limiters.delete(service);
      return undefined;
    }
    const quota = computeZoneQuota(cap, ['lagos-a', 'lagos-b'], 'lagos-a');
    const create = () =>
      new ShiftLimiter(quota, nowMs, slotLeaseMs + takeoverDelayMs, delayVariationMs);
    const known = this.limiters.get(service) ?? [create(), create()];
    this.limiters.set(service, known);
    for (const limiter of known) {
      limiter.observe(nowMs);
      limiter.change(quota, nowMs);
    }
    return known;
  }
}

interface Step {
  readonly kind: 'tick' | 'pause' | 'arrival' | 'dispatch' | 'caps' | 'owners';
  readonly service: string;
  readonly afterMs: number;
  readonly pick: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.oneof(
    { weight: 30, arbitrary: fc.constant('tick' as const) },
    { weight: 40, arbitrary: fc.constantFrom('arrival' as const, 'dispatch' as const) },
    { weight: 2, arbitrary: fc.constant('pause' as const) },
    { weight: 2, arbitrary: fc.constantFrom('caps' as const, 'owners' as const) },
  ),
  service: fc.constantFrom(...services),
  afterMs: fc.oneof(
    { weight: 10, arbitrary: fc.nat({ max: 60 }) },
    { weight: 1, arbitrary: fc.nat({ max: 300 }) },
  ),
  pick: fc.nat({ max: 40 }),
});

/**
 * Runs the steps on both admissions, observing every 50 ms during ticks, and returns the first
 * decision that differs.
 */
function findFirstDifference(steps: readonly Step[]) {
  const world = createWorld();
  const admission = new ShiftAdmission(createParts(world));
  const fullScan = new FullScanAdmission(world);
  const caps: Record<string, number> = { 'parts-desk': 6, pickups: 30, stock: 0.4 };
  world.setCaps(caps);
  let admitted = 0;
  const observe = (advanceMs: number) => {
    world.nowMs += advanceMs;
    admission.observe();
    fullScan.observe();
  };
  for (const [index, { kind, service, afterMs, pick }] of steps.entries()) {
    if (kind === 'tick') for (let tick = 0; tick < pick * 5; tick += 1) observe(50);
    if (kind === 'pause') world.nowMs += 200 + pick * 100;
    if (kind === 'caps') {
      if (pick === 0) delete caps[service];
      else caps[service] = pick;
      world.setCaps(caps);
    }
    if (kind === 'owners')
      world.setOwners({ ...world.owners, [service]: pick > 15 ? 'self' : 'b' });
    if (kind !== 'arrival' && kind !== 'dispatch') continue;
    world.nowMs += afterMs;
    for (let call = 0; call < pick; call += 1) {
      const isArrival = kind === 'arrival';
      const expected = fullScan.retryAfterMsOf(service, isArrival ? 0 : 1);
      const admit = isArrival ? admission.admitShifted : admission.dispatchShifted;
      const actual = admit(service, 'abuja')?.retryAfterMs;
      if (actual !== expected) return { difference: { index, actual, expected }, admitted };
      if (actual === undefined) admitted += 1;
    }
  }
  return { difference: undefined, admitted };
}

test('calls are admitted as if the limiters of all services were refreshed every 50 ms', (t) => {
  let admitted = 0;
  const property = fc.property(
    fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }),
    (steps) => {
      const outcome = findFirstDifference(steps);
      admitted += outcome.admitted;
      t.is(outcome.difference, undefined);
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 500 }));
  t.log({ seed: 7, admitted });
  t.true(admitted > 1000);
});

test('services are scanned only after a change or a pause, not periodically', (t) => {
  const world = createWorld();
  const checkedServices: string[] = [];
  const parts = createParts(world);
  const admission = new ShiftAdmission({
    ...parts,
    poolOwner: (_zone, service) => {
      checkedServices.push(service);
      return 'self';
    },
  });
  const countChecksAfter = (change: () => void, gapMs = 50) => {
    checkedServices.length = 0;
    change();
    world.nowMs += gapMs;
    for (let tick = 0; tick < 20; tick += 1) {
      admission.observe();
      world.nowMs += 50;
    }
    return checkedServices.length;
  };
  const caps = Object.fromEntries(services.map((service) => [service, 6]));
  t.is(
    countChecksAfter(() => world.setCaps(caps)),
    services.length,
  );
  t.is(
    countChecksAfter(() => undefined),
    0,
  );
  t.is(
    countChecksAfter(() => world.setOwners({})),
    services.length,
  );
  t.is(
    countChecksAfter(() => undefined, 300),
    services.length,
  );
});
