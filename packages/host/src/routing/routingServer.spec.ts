import { BackendRegistry } from '@buckthornlug/core/registry/backendRegistry.js';
import { RoutingStore } from '@buckthornlug/core/routing/routingStore.js';
import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
import test from 'ava';

import { RoutingServer } from './routingServer.js';
import { RoutingState } from './routingState.js';

/** Largest answer that a link of 2 Mbit/s carries within half of the poll's time limit of 500 ms. */
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

function serverOf(backends: number) {
  const registry = new BackendRegistry();
  for (let index = 0; index < backends; index += 1) {
    registry.note({ type: 'noteBackend', report: report(index), atMs: 1000 });
  }
  const machine = { registry, routing: new RoutingStore() };
  return {
    registry,
    server: new RoutingServer({ machine, leaderSilentMs: () => 0, wallMs: () => 0 }),
  };
}

test('a host that starts learns of every backend server in answers that a slow link carries in time', async (t) => {
  const { registry, server } = serverOf(500);
  const state = new RoutingState({ nowMs: () => 0 });
  while (state.position().registryRevision < registry.revision()) {
    const news = await server.poll({ ...state.position(), waitMs: 0 });
    t.true(JSON.stringify(news).length <= maxAnswerBytes);
    t.true(state.apply(news));
  }
  t.is(state.backends.size, 500);
});

test('a change that comes between two answers is in the later one', async (t) => {
  const { registry, server } = serverOf(100);
  const state = new RoutingState({ nowMs: () => 0 });
  state.apply(await server.poll({ ...state.position(), waitMs: 0 }));
  registry.note({
    type: 'noteBackend',
    report: { ...report(0), sequence: 2, state: 'draining' },
    atMs: 2000,
  });
  while (state.position().registryRevision < registry.revision()) {
    state.apply(await server.poll({ ...state.position(), waitMs: 0 }));
  }
  t.is(state.backends.get(report(0).backendId)?.state, 'draining');
});
