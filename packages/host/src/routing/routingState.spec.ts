import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';
import type { Route } from '@buckthornlug/protocol/routing/routingSchema.js';
import test from 'ava';

import type { Clock } from '../runtime/hostTypes.js';
import type { RoutingUpdate } from './routingPollSchema.js';
import { RoutingState } from './routingState.js';

function createRecord(state: RegisteredBackend['state'], revision: number): RegisteredBackend {
  return {
    backendId: 'b-1',
    bornAtMs: 1,
    sequence: revision,
    service: 'desk',
    availabilityZone: 'north-a',
    endpoint: { address: '127.0.0.1', port: 1 },
    slots: 2,
    state,
    coldUntilMs: 0,
    revision,
  };
}

function createUpdate(registryRevision: number, backend: RegisteredBackend): RoutingUpdate {
  const position = { routingVersion: 1, evacuationRevision: 0, registryRevision };
  return { position, backends: [backend], silentMs: 0, wallMs: 0 };
}

test('a late answer does not bring a backend server back that has left', (t) => {
  const state = new RoutingState({ nowMs: () => 0 });
  state.apply(createUpdate(5, createRecord('ready', 5)));
  const late = createUpdate(7, createRecord('ready', 7));
  state.apply(createUpdate(9, createRecord('gone', 9)));
  t.false(state.apply(late));
  t.is(state.backends.size, 0);
  t.is(state.position().registryRevision, 9);
});

test('the records of a truncated answer are all applied, and those of the next one too', (t) => {
  const state = new RoutingState({ nowMs: () => 0 });
  const first = createRecord('ready', 3);
  const second = { ...createRecord('ready', 4), backendId: 'b-2' };
  const third = { ...createRecord('ready', 6), backendId: 'b-3' };
  state.apply({ ...createUpdate(4, first), backends: [first, second] });
  state.apply(createUpdate(6, third));
  t.deepEqual([...state.backends.keys()], ['b-1', 'b-2', 'b-3']);
});

const routeTo = (service: string): Route => ({
  routeId: 'r-1',
  hostName: 'one.example',
  pathPrefix: '/a/',
  targets: [{ service, weight: 1 }],
  execution: 'single',
  timeLimitMs: 1000,
  targetMs: 300,
  rank: 0,
  maxAttempts: 2,
  hasAffinity: false,
  homeRegions: [],
});

function changesTo(service: string, baseVersion: number, version: number): RoutingUpdate {
  const position = { routingVersion: version, evacuationRevision: 0, registryRevision: 0 };
  const limits = { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 };
  const common = { version, routes: [routeTo(service)], services: [], limits };
  const changes = { ...common, baseVersion, removedRouteIds: [] };
  return { position, backends: [], silentMs: 0, wallMs: 0, changes };
}

test('changes are applied to their base version and those after it, not to earlier ones', (t) => {
  const state = new RoutingState({ nowMs: () => 0 });
  t.false(state.apply(changesTo('desk', 1, 2)));
  t.is(state.position().routingVersion, -1);
  const limits = { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 };
  const document = { version: 1, routes: [routeTo('desk')], services: [], limits, source: '' };
  const { position, backends, silentMs, wallMs } = changesTo('desk', 0, 1);
  t.true(state.apply({ position, backends, silentMs, wallMs, document }));
  t.false(state.apply(changesTo('other', 2, 3)));
  t.is(state.position().routingVersion, 1);
  t.true(state.apply(changesTo('ledger', 1, 4)));
  t.is(state.position().routingVersion, 4);
  t.true(state.apply(changesTo('late', 1, 5)));
  t.is(state.position().routingVersion, 5);
  t.false(state.apply(changesTo('late', 1, 3)));
  const routes = state.table?.routesByHostName.get('one.example') ?? [];
  t.deepEqual(
    routes.map(({ targets }) => targets[0]?.service),
    ['late'],
  );
});

// Guards against a 404 for a route that came in force while the machine was suspended.
test('a confirmation from before a break of the clock confirms nothing after it', (t) => {
  let nowMs = 1000;
  let breakClock: (atMs: number, partingMs: number) => void = () => undefined;
  const clock: Pick<Clock, 'nowMs' | 'onBreak'> = {
    nowMs: () => nowMs,
    onBreak: (listener) => {
      breakClock = listener;
      return () => undefined;
    },
  };
  const state = new RoutingState(clock);
  state.confirm(900);
  t.is(state.unconfirmedMs(), 100);
  nowMs = 1001;
  breakClock(nowMs, 5000);
  t.is(state.unconfirmedMs(), Number.POSITIVE_INFINITY);
  nowMs = 1100;
  state.confirm(1050);
  t.is(state.unconfirmedMs(), 50);
});
