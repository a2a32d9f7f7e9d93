import test from 'ava';

import { replayPlacement } from './placementReplay.js';
import type { ReplayLoad, ReplayResult, ReplayRoute, ReplayZone } from './replayTypes.js';

const reads: ReplayRoute = {
  routeId: 'reads',
  rank: 1,
  share: 0.7,
  targetMs: 300,
  timeLimitMs: 800,
  workMs: 240,
  objects: 64,
};
const holds: ReplayRoute = {
  routeId: 'holds',
  rank: 2,
  share: 0.3,
  targetMs: 600,
  timeLimitMs: 1000,
  workMs: 312,
  objects: 24,
};

function zone(name: string, region: string, backends: number, callsPerS: number): ReplayZone {
  return { zone: name, region, hosts: 2, backends, callsPerS };
}

/** Two regions of equal size whose calls would need more slots than there are if none were warm. */
const load: ReplayLoad = {
  zones: [
    zone('north-a', 'north', 4, 57),
    zone('north-b', 'north', 4, 57),
    zone('south-a', 'south', 4, 57),
    zone('south-b', 'south', 4, 57),
  ],
  routes: [reads, holds],
  backend: { slots: 3, queuedCalls: 9, keptObjects: 34, warmPart: 0.3 },
  regionLinkMs: 3.5,
  farLinkMs: 55,
  keepAliveMs: 4000,
  durationMs: 20_000,
  seed: 7,
};

function sumOf(results: ReadonlyMap<string, ReplayResult>, field: keyof ReplayResult): number {
  let sum = 0;
  for (const result of results.values()) sum += result[field];
  return sum;
}

function shareInTarget(result: ReplayResult | undefined): number {
  return (result?.inTarget ?? 0) / (result?.calls ?? 1);
}

test('calls run where their object was handled last', async (t) => {
  const results = await replayPlacement(load);
  t.true(sumOf(results, 'warmRuns') > 0.85 * sumOf(results, 'runs'));
  t.true(sumOf(results, 'inTarget') > 0.9 * sumOf(results, 'calls'));
});

test('a region with few backend servers sends the same objects elsewhere, and they run warm', async (t) => {
  const zones = [
    zone('north-a', 'north', 1, 57),
    zone('north-b', 'north', 1, 57),
    zone('south-a', 'south', 7, 57),
    zone('south-b', 'south', 7, 57),
  ];
  const results = await replayPlacement({ ...load, zones });
  t.true(sumOf(results, 'farRuns') > 0);
  t.true(sumOf(results, 'warmRuns') > 0.8 * sumOf(results, 'runs'));
  t.true(sumOf(results, 'inTarget') > 0.75 * sumOf(results, 'calls'));
});

test('many hosts that each see few answers keep a small region from taking more than it can run', async (t) => {
  const many = (name: string, region: string, backends: number) => ({
    ...zone(name, region, backends, 200),
    hosts: 12,
  });
  const zones = [
    many('north-a', 'north', 15),
    many('north-b', 'north', 15),
    many('south-a', 'south', 72),
    many('south-b', 'south', 72),
  ];
  const slow = { targetMs: 500, timeLimitMs: 1200, workMs: 720 };
  const routes = [
    { ...reads, ...slow, objects: 292 },
    { ...holds, ...slow, targetMs: 1200, workMs: 960, objects: 126 },
  ];
  const results = await replayPlacement({
    ...load,
    zones,
    routes,
    backend: { ...load.backend, keptObjects: 17, warmPart: 0.25 },
    countFromMs: 8000,
  });
  t.true(sumOf(results, 'inTarget') > 0.9 * sumOf(results, 'calls'));
});

test('in a flood of one route the other one keeps its floor, and nobody waits in vain', async (t) => {
  const troubles = [{ fromMs: 5000, toMs: 15_000, burst: { routeId: 'reads', factor: 5 } }];
  const results = await replayPlacement({ ...load, troubles });
  t.true(shareInTarget(results.get('holds')) > 0.5);
  t.true(sumOf(results, 'inTarget') > 2 * sumOf(results, 'late'));
});

test('slow backend servers get few calls while they are slow', async (t) => {
  const troubles = [{ fromMs: 5000, toMs: 15_000, slow: { backends: 3, factor: 5 } }];
  const results = await replayPlacement({ ...load, troubles });
  t.true(sumOf(results, 'inTarget') > 0.75 * sumOf(results, 'calls'));
});

test('hosts that share backend servers keep their slots busy in a flood of all calls', async (t) => {
  const zones = [
    zone('north-a', 'north', 5, 57),
    zone('north-b', 'north', 6, 57),
    zone('east-a', 'east', 1, 57),
    zone('east-b', 'east', 1, 57),
    zone('south-a', 'south', 5, 57),
    zone('south-b', 'south', 6, 57),
  ];
  const troubles = [{ fromMs: 5000, toMs: 15_000, burst: { factor: 2 } }];
  const results = await replayPlacement({ ...load, zones, troubles, durationMs: 30_000 });
  t.true(sumOf(results, 'inTarget') > 0.9 * sumOf(results, 'calls'));
});

test('soon after a flood calls are served as before it', async (t) => {
  const troubles = [{ fromMs: 5000, toMs: 12_000, burst: { factor: 5 } }];
  const results = await replayPlacement({ ...load, troubles, countFromMs: 15_000 });
  t.true(sumOf(results, 'inTarget') > 0.9 * sumOf(results, 'calls'));
});

/** Three regions, two of them with few backend servers, whose objects get a few calls in all. */
const fewCalls: ReplayLoad = {
  ...load,
  zones: [
    { ...zone('north-a', 'north', 3, 3.6), hosts: 2 },
    { ...zone('north-b', 'north', 3, 3.6), hosts: 1 },
    { ...zone('east-a', 'east', 1, 3.6), hosts: 2 },
    { ...zone('east-b', 'east', 1, 3.6), hosts: 1 },
    { ...zone('south-a', 'south', 2, 3.6), hosts: 1 },
    { ...zone('south-b', 'south', 2, 3.6), hosts: 1 },
  ],
  routes: [{ ...reads, share: 1, targetMs: 800, timeLimitMs: 1500, workMs: 990, objects: 24 }],
  backend: { slots: 3, queuedCalls: 9, keptObjects: 25, warmPart: 0.3 },
  regionLinkMs: 3.9,
  durationMs: 32_000,
};

test('an object with few calls whose first run is late runs at few backend servers', async (t) => {
  const objects = 24 * 3;
  for (const seed of [1, 2, 3, 4]) {
    const results = await replayPlacement({ ...fewCalls, seed });
    const firstRuns = sumOf(results, 'runs') - sumOf(results, 'warmRuns');
    t.true(firstRuns <= 2 * objects, `seed ${seed}: ${firstRuns} first runs`);
  }
});

test('reports of other work on the machines of backend servers bring more calls into target', async (t) => {
  const [route] = fewCalls.routes;
  const routes = [{ ...(route as ReplayRoute), targetMs: 600, timeLimitMs: 1200, workMs: 750 }];
  const zones = fewCalls.zones.map((one) => ({ ...one, callsPerS: 17 }));
  const inTarget = { withReports: 0, withoutReports: 0 };
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const otherWork = { share: 0.13, spellMs: 500, factor: 2.5 };
    const replay = async (isReported: boolean) => {
      const backend = { ...fewCalls.backend, slots: 5, otherWork: { ...otherWork, isReported } };
      return sumOf(
        await replayPlacement({ ...fewCalls, routes, zones, backend, seed }),
        'inTarget',
      );
    };
    inTarget.withReports += await replay(true);
    inTarget.withoutReports += await replay(false);
  }
  t.true(inTarget.withReports > inTarget.withoutReports, JSON.stringify(inTarget));
});

test('the same load and seed are placed the same way', async (t) => {
  const short = { ...load, durationMs: 3000 };
  const [first, second] = [await replayPlacement(short), await replayPlacement(short)];
  t.deepEqual([...first], [...second]);
});
