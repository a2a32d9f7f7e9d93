import { maxTimerMs } from '@buckthornlug/protocol/common/primitives.js';
import type { Route, RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import { routingDocumentSchema } from '@buckthornlug/protocol/routing/routingSchema.js';
import test from 'ava';

import { compileRoutes, findRoute, TargetSelector } from './routeTable.js';
import { RoutingStore } from './routingStore.js';

function route(change: Partial<Route> = {}): Route {
  return {
    routeId: 'r-1',
    hostName: 'one.example',
    pathPrefix: '/a/',
    targets: [{ service: 'desk', weight: 1 }],
    execution: 'single',
    timeLimitMs: 1000,
    targetMs: 300,
    rank: 0,
    maxAttempts: 2,
    hasAffinity: false,
    homeRegions: [],
    ...change,
  };
}

function document(version: number, routes: Route[] = [route()]): RoutingDocument {
  const service = { healthPath: '/health', connectionLimit: 10, coldStartMs: 0, coldCallsPerS: 1 };
  return {
    version,
    routes,
    services: ['desk', 'ledger'].map((name) => ({ service: name, ...service })),
    limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 },
    source: `version ${version}`,
  };
}

// Guards against timers that fire at once, as those that are set beyond their bits do.
test('a timeout of a document beyond the longest timer counts as the longest timer', (t) => {
  const sound = document(1);
  const limits = { ...sound.limits, headTimeoutMs: 2 ** 31, idleTimeoutMs: 1e300 };
  const expected = { ...limits, headTimeoutMs: maxTimerMs, idleTimeoutMs: maxTimerMs };
  t.deepEqual(compileRoutes({ ...sound, limits }).limits, expected);
  t.deepEqual(compileRoutes(sound).limits, sound.limits);
});

test('a call takes the route of its host name with the longest prefix of its path', (t) => {
  const table = compileRoutes(
    document(1, [
      route({ routeId: 'short' }),
      route({ routeId: 'long', pathPrefix: '/a/b/' }),
      route({ routeId: 'other', hostName: 'Two.example' }),
    ]),
  );
  t.is(findRoute(table, 'one.example', '/a/b/c')?.routeId, 'long');
  t.is(findRoute(table, 'ONE.example:8080', '/a/bc')?.routeId, 'short');
  t.is(findRoute(table, 'two.example', '/a/')?.routeId, 'other');
  t.is(findRoute(table, 'one.example', '/b/'), undefined);
  t.is(findRoute(table, 'three.example', '/a/'), undefined);
});

test('any run of calls is distributed by the weights', (t) => {
  const split = route({
    targets: [
      { service: 'desk', weight: 90 },
      { service: 'ledger', weight: 10 },
    ],
  });
  const selector = new TargetSelector();
  const picked = Array.from({ length: 50 }, () => selector.next(split));
  t.is(picked.filter((service) => service === 'ledger').length, 5);
  t.is(picked.slice(0, 10).filter((service) => service === 'ledger').length, 1);
});

test('a route whose targets all have weight 0 selects no service', (t) => {
  const selector = new TargetSelector();
  const none = route({
    targets: [
      { service: 'desk', weight: 0 },
      { service: 'ledger', weight: 0 },
    ],
  });
  t.is(selector.next(none), undefined);
});

test('the highest version is in force, and other content under the same version is ignored', (t) => {
  const store = new RoutingStore();
  t.is(store.replace({ type: 'replaceRouting', document: document(7) }).routingVersion, 7);
  t.is(store.replace({ type: 'replaceRouting', document: document(4) }).routingVersion, 7);
  const other = { ...document(7), source: 'other' };
  t.is(store.replace({ type: 'replaceRouting', document: other }).routingVersion, 7);
  t.is(store.current()?.source, 'version 7');
});

test('an evacuation increases the revision once, and a snapshot restores the whole state', (t) => {
  const store = new RoutingStore();
  const begin = {
    type: 'evacuation',
    availabilityZone: 'north-a',
    isEvacuated: true,
    atMs: 5,
  } as const;
  store.replace({ type: 'replaceRouting', document: document(7) });
  store.setEvacuation(begin);
  store.setEvacuation({ ...begin, atMs: 9 });
  t.is(store.evacuationRevision(), 1);
  const restored = new RoutingStore();
  restored.restore(store.snapshot());
  t.deepEqual(restored.snapshot(), store.snapshot());
  t.deepEqual(restored.evacuationRecords(), [
    { availabilityZone: 'north-a', isEvacuated: true, atMs: 5 },
  ]);
});

test('a late copy of an order does not undo an order that was acknowledged after it', (t) => {
  const store = new RoutingStore();
  const order = (isEvacuated: boolean, atMs: number, baseAtMs: number) =>
    store.setEvacuation({
      type: 'evacuation',
      availabilityZone: 'north-a',
      isEvacuated,
      atMs,
      baseAtMs,
    });
  order(true, 10, 0);
  order(false, 20, 10);
  order(true, 30, 20);
  const late = order(false, 15, 10);
  t.true(late.isSuperseded);
  t.true(store.evacuationRecords()[0]?.isEvacuated);
  const resent = order(true, 40, 20);
  t.is(resent.isSuperseded, undefined, 'an order that is in force is acknowledged again');
});

test('each change of a zone has a higher number, also if the clock of a host is behind', (t) => {
  const store = new RoutingStore();
  const order = { type: 'evacuation', availabilityZone: 'north-a' } as const;
  store.setEvacuation({ ...order, isEvacuated: true, atMs: 10 });
  store.setEvacuation({ ...order, isEvacuated: false, atMs: 4 });
  t.is(store.evacuationChanges().get('north-a'), 11);
});

/** Each row: a fault, and the change of a valid route that introduces it. */
const faults: readonly (readonly [string, Partial<Route>])[] = [
  ['an unknown service', { targets: [{ service: 'nowhere', weight: 1 }] }],
  ['a weight below 0', { targets: [{ service: 'desk', weight: -1 }] }],
  ['no time limit', { timeLimitMs: 0 }],
  ['a time limit over ten minutes', { timeLimitMs: 600_001 }],
  ['no attempts', { maxAttempts: 0 }],
  ['no target', { targets: [] }],
];

for (const [title, change] of faults) {
  test(`a document whose route has ${title} is not valid`, (t) => {
    t.true(routingDocumentSchema.safeParse(document(1)).success);
    t.false(routingDocumentSchema.safeParse(document(1, [route(change)])).success);
  });
}
