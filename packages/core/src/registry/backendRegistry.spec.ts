import type {
  BackendReport,
  RegisteredBackend,
} from '@buckthornlug/protocol/registry/registrySchema.js';
import test from 'ava';

import { BackendRegistry } from './backendRegistry.js';

const base: BackendReport = {
  backendId: 'b-1',
  bornAtMs: 100,
  sequence: 4,
  service: 'desk',
  availabilityZone: 'north-a',
  endpoint: { address: '10.0.0.1', port: 80 },
  slots: 3,
  state: 'ready',
  coldForMs: 0,
};

/** Builds a registry that has received the reports in order. */
function registryAfter(...reports: Partial<BackendReport>[]): BackendRegistry {
  const registry = new BackendRegistry();
  for (const report of reports) {
    registry.recordReport({ type: 'noteBackend', report: { ...base, ...report }, atMs: 1000 });
  }
  return registry;
}

/** Reports, and the state of b-1 after them. */
const cases: readonly {
  readonly title: string;
  readonly reports: readonly Partial<BackendReport>[];
  readonly state: RegisteredBackend['state'] | undefined;
}[] = [
  { title: 'a first report', reports: [{}], state: 'ready' },
  {
    title: 'a report that it is draining',
    reports: [{}, { state: 'draining', sequence: 5 }],
    state: 'draining',
  },
  {
    title: 'a late report from before the drain',
    reports: [{ state: 'draining', sequence: 5 }, { sequence: 4 }],
    state: 'draining',
  },
  {
    title: 'a new process with the same id',
    reports: [{ state: 'draining' }, { bornAtMs: 200, sequence: 1 }],
    state: 'ready',
  },
  {
    title: 'a late report from the former process',
    reports: [
      { bornAtMs: 200, sequence: 1 },
      { state: 'draining', sequence: 9 },
    ],
    state: 'ready',
  },
  {
    title: 'a younger process at the same address',
    reports: [{}, { backendId: 'b-2', bornAtMs: 200, service: 'ledger' }],
    state: 'gone',
  },
  {
    title: 'a report after a younger process took its address',
    reports: [{ backendId: 'b-2', bornAtMs: 200 }, {}],
    state: undefined,
  },
];

for (const { title, reports, state } of cases) {
  test(`${title}: ${state ?? 'not registered'}`, (t) => {
    t.is(registryAfter(...reports).find('b-1')?.state, state);
  });
}

test('a silent backend server returns with a later report, one that left does not', (t) => {
  const registry = registryAfter({});
  registry.remove({ type: 'removeBackend', backendId: 'b-1', bornAtMs: 100, reason: 'silent' });
  t.is(registry.find('b-1')?.state, 'silent');
  registry.recordReport({ type: 'noteBackend', report: { ...base, sequence: 4 }, atMs: 1000 });
  t.is(registry.find('b-1')?.state, 'silent');
  registry.recordReport({ type: 'noteBackend', report: { ...base, sequence: 5 }, atMs: 1000 });
  t.is(registry.find('b-1')?.state, 'ready');
  registry.remove({ type: 'removeBackend', backendId: 'b-1', reason: 'left' });
  registry.recordReport({ type: 'noteBackend', report: { ...base, sequence: 6 }, atMs: 1000 });
  t.is(registry.find('b-1')?.state, 'gone');
});

test('a removal of a former process changes nothing', (t) => {
  const registry = registryAfter({ bornAtMs: 200 });
  registry.remove({ type: 'removeBackend', backendId: 'b-1', bornAtMs: 100, reason: 'silent' });
  t.is(registry.find('b-1')?.state, 'ready');
});

test('a reader gets the records that changed after its revision', (t) => {
  const registry = registryAfter(
    {},
    { backendId: 'b-2', endpoint: { address: '10.0.0.2', port: 80 } },
  );
  const revision = registry.revision();
  t.deepEqual(registry.changedSince(revision), []);
  registry.recordReport({
    type: 'noteBackend',
    report: { ...base, state: 'draining' },
    atMs: 1000,
  });
  t.deepEqual(
    registry.changedSince(revision).map(({ backendId, state }) => ({ backendId, state })),
    [{ backendId: 'b-1', state: 'draining' }],
  );
});

test('a limited read returns the earliest changes, whatever was registered first', (t) => {
  const at = (address: string) => ({ endpoint: { address, port: 80 } });
  const registry = registryAfter(
    {},
    { backendId: 'b-2', ...at('10.0.0.2') },
    { backendId: 'b-3', ...at('10.0.0.3') },
    { state: 'draining', sequence: 5 },
  );
  const read = (revision: number) =>
    registry.changedSince(revision, 2).map(({ backendId }) => backendId);
  t.deepEqual(read(0), ['b-2', 'b-3']);
  t.deepEqual(read(registry.changedSince(0, 2).at(-1)?.revision ?? 0), ['b-1']);
});

test('a restored registry equals the original and still refuses superseded processes', (t) => {
  const registry = registryAfter({}, { backendId: 'b-2', bornAtMs: 200 });
  const restored = new BackendRegistry();
  restored.restore(registry.snapshot());
  t.deepEqual(restored.snapshot(), registry.snapshot());
  t.false(restored.isChange({ ...base, sequence: 9 }, 1000));
});

test('a backend server that turns cold again changes the registry only once', (t) => {
  const registry = registryAfter({});
  const cold = { ...base, sequence: 5, coldForMs: 3000 };
  t.true(registry.isChange(cold, 1000));
  registry.recordReport({ type: 'noteBackend', report: cold, atMs: 1000 });
  t.false(registry.isChange({ ...cold, sequence: 6, coldForMs: 1500 }, 2500));
});

test('a departure that overtakes the first report of its process keeps that report out', (t) => {
  const registry = registryAfter({ bornAtMs: 100 });
  registry.remove({ type: 'removeBackend', backendId: 'b-1', bornAtMs: 200, reason: 'left' });
  t.is(registry.find('b-1')?.state, 'gone');
  registry.recordReport({ type: 'noteBackend', report: { ...base, bornAtMs: 200 }, atMs: 1000 });
  t.is(registry.find('b-1')?.state, 'gone');
});

test('a late departure of a former process does not remove the one that runs', (t) => {
  const registry = registryAfter({ bornAtMs: 100 }, { bornAtMs: 200, sequence: 1 });
  registry.remove({ type: 'removeBackend', backendId: 'b-1', bornAtMs: 100, reason: 'left' });
  t.is(registry.find('b-1')?.state, 'ready');
});
