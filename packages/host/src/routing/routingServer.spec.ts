import { setTimeout as delay } from 'node:timers/promises';

import { BackendRegistry } from '@buckthornlug/core/registry/backendRegistry.js';
import { RoutingStore } from '@buckthornlug/core/routing/routingStore.js';
import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
import type { RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import test from 'ava';

import { RoutingServer } from './routingServer.js';
import { RoutingState } from './routingState.js';

/** Shortest wait for changes of backend servers only: five answers in two seconds. */
const backendUpdateDelayMs = 400;
/** Largest answer that a link of 2 Mbit/s transfers in half of the time limit of a poll, 500 ms. */
const maxAnswerBytes = 62_500;

function report(index: number): BackendReport {
  return {
    backendId: `i-${index.toString(16).padStart(8, '0')}`,
    bornAtMs: 1_780_000_000_000 + index,
    sequence: 1,
    service: 'a-service',
    availabilityZone: 'an-availability-zone',
    endpoint: { address: `10.1.${Math.floor(index / 200)}.${index % 200}`, port: 8080 },
    slots: 6,
    state: 'ready',
    coldForMs: 0,
  };
}

function documentOf(version: number, targetMs = 300): RoutingDocument {
  const routes = Array.from({ length: 4000 }, (_, index) => ({
    routeId: `r-${index}`,
    hostName: `host-${index}.example`,
    pathPrefix: `/path-${index}/`,
    targets: [{ service: 'desk', weight: 1 }],
    execution: 'single' as const,
    timeLimitMs: 1000,
    targetMs: index === 7 ? targetMs : 300,
    rank: 0,
    maxAttempts: 2,
    hasAffinity: false,
    homeRegions: [],
  }));
  const limits = { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes, services: [], limits, source: 'text of the operator' };
}

function createServer(backends: number) {
  const registry = new BackendRegistry();
  for (let index = 0; index < backends; index += 1) {
    registry.recordReport({ type: 'noteBackend', report: report(index), atMs: 1000 });
  }
  const routing = new RoutingStore();
  const machine = { registry, routing };
  return {
    registry,
    routing,
    server: new RoutingServer({ machine, stateAgeMs: () => 0, wallMs: () => 0 }),
  };
}

test('a starting host gets all backend servers in answers that fit a slow link', async (t) => {
  const { registry, server } = createServer(500);
  const state = new RoutingState({ nowMs: () => 0 });
  while (state.position().registryRevision < registry.revision()) {
    const news = await server.poll({ ...state.position(), waitMs: 0 });
    t.true(JSON.stringify(news).length <= maxAnswerBytes);
    t.true(state.apply(news));
  }
  t.is(state.backends.size, 500);
});

test('a change between two answers is in the later one', async (t) => {
  const { registry, server } = createServer(100);
  const state = new RoutingState({ nowMs: () => 0 });
  state.apply(await server.poll({ ...state.position(), waitMs: 0 }));
  registry.recordReport({
    type: 'noteBackend',
    report: { ...report(0), sequence: 2, state: 'draining' },
    atMs: 2000,
  });
  while (state.position().registryRevision < registry.revision()) {
    state.apply(await server.poll({ ...state.position(), waitMs: 0 }));
  }
  t.is(state.backends.get(report(0).backendId)?.state, 'draining');
});

test('constant changes of backend servers are sent at most five times in two seconds', async (t) => {
  const { registry, server } = createServer(1);
  const state = new RoutingState({ nowMs: () => 0 });
  state.apply(await server.poll({ ...state.position(), waitMs: 0 }));
  const changes = 60;
  const startedAtMs = performance.now();
  let answers = 0;
  const follow = async () => {
    while (state.position().registryRevision <= changes) {
      t.true(state.apply(await server.poll({ ...state.position(), waitMs: 500 })));
      answers += 1;
    }
  };
  const change = async () => {
    for (let index = 1; index <= changes; index += 1) {
      registry.recordReport({ type: 'noteBackend', report: report(index), atMs: 1000 });
      server.changed();
      await delay(10);
    }
  };
  await Promise.all([follow(), change()]);
  const elapsedS = (performance.now() - startedAtMs) / 1000;
  t.is(state.backends.size, changes + 1);
  t.true(answers <= 2.5 * elapsedS + 1, `${answers} answers in ${elapsedS} s`);
});

test('an evacuation is sent at once while changes of backend servers are held back', async (t) => {
  const { registry, routing, server } = createServer(1);
  const state = new RoutingState({ nowMs: () => 0 });
  state.apply(await server.poll({ ...state.position(), waitMs: 0 }));
  registry.recordReport({ type: 'noteBackend', report: report(1), atMs: 1000 });
  let isBackendDelayOver = false;
  const timer = setTimeout(() => {
    isBackendDelayOver = true;
  }, backendUpdateDelayMs);
  t.teardown(() => clearTimeout(timer));
  const answer = server.poll({ ...state.position(), waitMs: 500 });
  const availabilityZone = 'an-availability-zone';
  routing.setEvacuation({ type: 'evacuation', availabilityZone, isEvacuated: true, atMs: 2000 });
  server.changed();
  const news = await answer;
  t.is(news.evacuations?.length, 1);
  t.false(isBackendDelayOver, 'before the wait for backend servers is over');
});

test('a control host that stops answers its waiting polls and confirms nothing to them', async (t) => {
  const { routing, registry, server } = createServer(1);
  const position = {
    routingVersion: routing.version(),
    evacuationRevision: routing.evacuationRevision(),
    registryRevision: registry.revision(),
  };
  const waiting = server.poll({ ...position, waitMs: 1000 });
  server.close();
  t.is((await waiting).silentMs, null);
});

// Guards against calls that an entry host handles by an old document, since the new one comes whole.
test('one changed route of thousands reaches a host in an answer that fits a slow link', async (t) => {
  const { routing, server } = createServer(0);
  const state = new RoutingState({ nowMs: () => 0 });
  routing.replace({ type: 'replaceRouting', document: documentOf(3) });
  t.true(state.apply(await server.poll({ ...state.position(), waitMs: 0 })));
  routing.replace({ type: 'replaceRouting', document: documentOf(5, 400) });
  routing.replace({ type: 'replaceRouting', document: documentOf(8, 500) });
  const news = await server.poll({ ...state.position(), waitMs: 0 });
  t.true(JSON.stringify(news).length <= maxAnswerBytes);
  t.true(state.apply(news));
  t.is(state.position().routingVersion, 8);
  t.is(state.table?.routesByHostName.get('host-7.example')?.[0]?.targetMs, 500);
  t.is(state.table?.routesByHostName.size, 4000);
});

test('a host of an earlier version and one with an unknown document get the whole one', async (t) => {
  const { routing, server } = createServer(0);
  for (const version of [3, 5]) {
    routing.replace({ type: 'replaceRouting', document: documentOf(version) });
  }
  const held = { routingVersion: 3, evacuationRevision: 0, registryRevision: 0, waitMs: 0 };
  t.is((await server.poll(held, false)).document?.routes.length, 4000);
  t.is((await server.poll(held, true)).changes?.baseVersion, 3);
  const unknown = await server.poll({ ...held, routingVersion: 4 }, true);
  t.is(unknown.document?.routes.length, 4000);
  t.is(unknown.changes, undefined);
});
