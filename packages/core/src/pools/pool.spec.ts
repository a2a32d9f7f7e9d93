import test from 'ava';
import fc from 'fast-check';

import { BackendSlots } from '../slots/backendSlots.js';
import { defaultOutlierLimits } from '../slots/outliers.js';
import { Pool } from './pool.js';
import type { PoolCall, PoolRules, RefusalReason, RunningCall } from './poolTypes.js';

const rules: PoolRules = {
  ranks: [
    { targetMs: 250, floorPermille: 300 },
    { targetMs: 600, floorPermille: 200 },
    { targetMs: 3000, floorPermille: 100 },
  ],
  serviceTimeMs: 40,
  maxQueuedCalls: 1000,
};
const hostId = 'host-1';

function readyBackend(backendId: string, slots: number): BackendSlots {
  const timing = { leaseMs: 1e9, guardMs: 0, formerOwnerCallMs: 0, slowStartMs: 0 };
  const backend = new BackendSlots(backendId, hostId, timing, defaultOutlierLimits);
  const announcement = {
    backendId,
    service: 'parts-desk',
    availabilityZone: 'lagos-a',
    endpoint: { address: '127.0.0.1', port: 8000 },
    slots,
    connectionLimit: slots,
    state: 'ready' as const,
    inFlight: 0,
  };
  backend.lease.receive(announcement, 0, 0);
  const token = backend.lease.issue('t1', 0, 0);
  backend.lease.receive({ ...announcement, lease: { hostId, token, ageMs: 0 } }, 0, 0);
  return backend;
}

function poolOf(
  slotsByBackend: readonly number[],
  overrides: Partial<PoolRules> = {},
): Pool<PoolCall> {
  const pool = new Pool<PoolCall>({ ...rules, ...overrides }, 0);
  for (const [index, slots] of slotsByBackend.entries()) pool.add(readyBackend(`b${index}`, slots));
  return pool;
}

function call(rank: number, nowMs: number, overrides: Partial<PoolCall> = {}): PoolCall {
  const targetMs = rules.ranks[rank]?.targetMs ?? 0;
  return {
    requestId: `${rank}@${nowMs}`,
    kind: `kind-${rank}`,
    rank,
    targetAtMs: nowMs + targetMs,
    deadlineAtMs: nowMs + 3 * targetMs,
    excluded: [],
    ...overrides,
  };
}

/** Offers calls until the pool refuses one. */
function fill(pool: Pool<PoolCall>, rank: number, nowMs: number): number {
  for (let count = 0; ; count += 1) {
    if (pool.offer(call(rank, nowMs), nowMs).offer === 'refused') return count;
    pool.dispatchWaiting(nowMs);
  }
}

const offers: readonly {
  readonly title: string;
  readonly pool: () => Pool<PoolCall>;
  readonly call: PoolCall;
  readonly nowMs: number;
  readonly expected: RefusalReason | 'queued';
}[] = [
  {
    title: 'a call is queued if a slot is free',
    pool: () => poolOf([1]),
    call: call(0, 0),
    nowMs: 0,
    expected: 'queued',
  },
  {
    title: 'a call whose expected wait exceeds its target is refused immediately',
    pool: () => {
      const pool = poolOf([1]);
      fill(pool, 0, 0);
      return pool;
    },
    call: call(0, 0),
    nowMs: 0,
    expected: 'targetMissed',
  },
  {
    title: 'a call is refused when the queue is full',
    pool: () => {
      const pool = poolOf([1], { maxQueuedCalls: 2 });
      fill(pool, 2, 0);
      return pool;
    },
    call: call(2, 0),
    nowMs: 0,
    expected: 'queueFull',
  },
  {
    title: 'a call whose deadline has passed is refused',
    pool: () => poolOf([1]),
    call: call(0, 0),
    nowMs: 750,
    expected: 'deadlinePassed',
  },
  {
    title: 'a pool without slots refuses a call',
    pool: () => poolOf([]),
    call: call(0, 0),
    nowMs: 0,
    expected: 'noSlots',
  },
  {
    title: 'a flood of the least urgent rank does not block urgent calls',
    pool: () => {
      const pool = poolOf([3, 3]);
      fill(pool, 2, 0);
      return pool;
    },
    call: call(0, 0),
    nowMs: 0,
    expected: 'queued',
  },
  {
    title: 'a flood of the most urgent rank does not block a rank with a floor',
    pool: () => {
      const pool = poolOf([3, 3]);
      fill(pool, 0, 0);
      return pool;
    },
    call: call(1, 0),
    nowMs: 0,
    expected: 'queued',
  },
];

for (const { title, pool, call: offered, nowMs, expected } of offers) {
  test(title, (t) => {
    const result = pool().offer(offered, nowMs);
    t.is(result.offer === 'refused' ? result.reason : result.offer, expected);
  });
}

test('an urgent call overtakes waiting calls of other ranks', (t) => {
  const pool = poolOf([1]);
  for (const rank of [2, 2, 1, 0]) pool.offer(call(rank, 0), 0);
  const [first] = pool.dispatchWaiting(0);
  t.is(first?.call.rank, 0);
});

test('kinds of one rank share the slots even if one of them floods the queue', (t) => {
  const pool = poolOf([4], { maxQueuedCalls: 1000 });
  for (let count = 0; count < 40; count += 1) pool.enqueue(call(0, 0, { kind: 'flooding' }), 0);
  for (let count = 0; count < 2; count += 1) pool.enqueue(call(0, 0, { kind: 'modest' }), 0);
  t.deepEqual(
    pool
      .dispatchWaiting(0)
      .map((effect) => effect.call.kind)
      .sort(),
    ['flooding', 'flooding', 'modest', 'modest'],
  );
});

test('a call never runs on an excluded backend server', (t) => {
  const pool = poolOf([1, 1]);
  pool.offer(call(0, 0, { excluded: ['b0'] }), 0);
  pool.offer(call(0, 0, { excluded: ['b0'] }), 0);
  const effects = pool.dispatchWaiting(0);
  t.deepEqual(
    effects.map((effect) => effect.effect === 'dispatch' && effect.backend.backendId),
    ['b1'],
  );
  t.is(pool.waitingCalls, 1);
});

test('a waiting call is refused when it passes its target or its deadline', (t) => {
  const pool = poolOf([1]);
  for (const rank of [0, 0, 1]) pool.enqueue(call(rank, 0), 0);
  pool.dispatchWaiting(0);
  const late = pool
    .dispatchWaiting(800)
    .map((effect) => effect.effect === 'refuse' && effect.reason);
  t.deepEqual(late, ['deadlinePassed', 'targetMissed']);
});

const hedges: readonly {
  readonly title: string;
  readonly slots?: number;
  readonly waitingRanks: readonly number[];
  readonly isAtRisk: boolean;
  readonly promisedSlots?: number;
  readonly mayHedge: boolean;
}[] = [
  { title: 'on a free slot', waitingRanks: [], isAtRisk: false, mayHedge: true },
  {
    title: 'on the last of many slots while its target is safe',
    slots: 10,
    waitingRanks: [0, 0, 0, 0, 0, 0, 0, 0, 0],
    isAtRisk: false,
    mayHedge: false,
  },
  {
    title: 'on the last of many slots when its target is at risk',
    slots: 10,
    waitingRanks: [0, 0, 0, 0, 0, 0, 0, 0, 0],
    isAtRisk: true,
    mayHedge: true,
  },
  {
    title: 'on a promised slot',
    waitingRanks: [],
    isAtRisk: true,
    promisedSlots: 1,
    mayHedge: false,
  },
  {
    title: 'ahead of less urgent calls when its target is at risk',
    waitingRanks: [0, 2],
    isAtRisk: true,
    mayHedge: true,
  },
  {
    title: 'ahead of less urgent calls while its target is safe',
    waitingRanks: [0, 2],
    isAtRisk: false,
    mayHedge: false,
  },
  { title: 'while calls of its rank wait', waitingRanks: [0, 1], isAtRisk: true, mayHedge: false },
  { title: 'ahead of more urgent calls', waitingRanks: [0, 0], isAtRisk: true, mayHedge: false },
  { title: 'while all slots are busy', waitingRanks: [0], isAtRisk: true, mayHedge: false },
];

for (const { title, slots, waitingRanks, isAtRisk, promisedSlots, mayHedge } of hedges) {
  test(`a second attempt ${mayHedge ? 'may' : 'may not'} start ${title}`, (t) => {
    const pool = poolOf([slots ?? 1]);
    for (const rank of waitingRanks) {
      pool.enqueue(call(rank, 0), 0);
      pool.dispatchWaiting(0);
    }
    t.is(pool.mayHedge(1, isAtRisk, promisedSlots ?? 0, 0), mayHedge);
  });
}

test('a call whose caller hung up gets no slot', (t) => {
  const pool = poolOf([1]);
  const offer = pool.offer(call(0, 0), 0);
  if (offer.offer === 'queued') pool.cancel(offer.entry);
  t.deepEqual(pool.dispatchWaiting(0), []);
});

interface BusySlot {
  readonly endsAtMs: number;
  readonly backend: BackendSlots;
  readonly running: RunningCall;
}

/** Floods some ranks of a pool and returns the share of the slot time that each rank got. */
function flood(floodedRanks: readonly number[], durationMs: number, callMs: number): number[] {
  const pool = poolOf([3, 3, 3, 3]);
  const slotMs = rules.ranks.map(() => 0);
  let busy: BusySlot[] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += 5) {
    const done = busy.filter((entry) => entry.endsAtMs <= nowMs);
    busy = busy.filter((entry) => entry.endsAtMs > nowMs);
    for (const { backend, running } of done) {
      pool.release(backend, running, { result: 'answered', status: 200, elapsedMs: callMs }, nowMs);
      slotMs[running.rank] = (slotMs[running.rank] ?? 0) + callMs;
    }
    for (const rank of floodedRanks) {
      for (let count = 0; count < 10; count += 1) pool.offer(call(rank, nowMs), nowMs);
    }
    for (const effect of pool.dispatchWaiting(nowMs)) {
      if (effect.effect === 'refuse') continue;
      busy.push({ endsAtMs: nowMs + callMs, backend: effect.backend, running: effect.running });
    }
  }
  return slotMs.map((used) => used / (12 * durationMs));
}

test('in any flood each flooded rank gets its floor, and no slot idles', (t) => {
  const property = fc.property(
    fc.subarray([0, 1, 2], { minLength: 1 }),
    fc.constantFrom(10, 20, 40, 80),
    (floodedRanks, callMs) => {
      const shares = flood(floodedRanks, 10_000, callMs);
      const total = shares.reduce((sum, share) => sum + share, 0);
      if (total < 0.95) return false;
      return floodedRanks.every(
        (rank) => (shares[rank] ?? 0) >= ((rules.ranks[rank]?.floorPermille ?? 0) / 1000) * 0.95,
      );
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 4, numRuns: 30 }));
});
