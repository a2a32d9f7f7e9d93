import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';
import test from 'ava';

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
