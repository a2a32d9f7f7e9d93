import { setTimeout as delay } from 'node:timers/promises';

import { BackendRegistry } from '@buckthornlug/core/registry/backendRegistry.js';
import { RoutingStore } from '@buckthornlug/core/routing/routingStore.js';
import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
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
