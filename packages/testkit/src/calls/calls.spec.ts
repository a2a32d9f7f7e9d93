import type { PlaceCall } from '@buckthornlug/protocol/steering/placementTypes.js';
import test from 'ava';

import type { AnswerFault, Behaviour } from '../fakes/fakeBackendTypes.js';
import { createTestDocument, inForce, testIdentityHeader } from '../fakes/testDocument.js';
import { startCallFleet, until, type TestCall } from './callFleet.js';

const timeLimitMs = 600;
const longFieldBytes = 15_900;
const fleet = await startCallFleet({
  hosts: [
    { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
    { hostId: 'a2', region: 'lagos', availabilityZone: 'lagos-a' },
    { hostId: 'b1', region: 'lagos', availabilityZone: 'lagos-b' },
  ],
  document: inForce(createTestDocument({ timeLimitMs })),
  backendHosts: [0, 0],
});

test.before(() => {
  const toOwner: PlaceCall = (pending) =>
    Promise.resolve({
      place: 'host',
      hostId: pending.origin === 'otherZone' ? 'b1' : 'a1',
      release: () => undefined,
    });
  for (const host of fleet.hosts) host.parts.provide({ mayRetry: (call) => call.attempt < 1 });
  fleet.hosts[1]!.parts.provide({ placeCall: toOwner });
  fleet.hosts[2]!.parts.provide({ placeCall: toOwner });
});

test.after.always(() => fleet.stop());

function behave(change: Partial<Behaviour>): void {
  for (const backend of fleet.backends) {
    backend.behave({ answerFault: 'none', faultShare: 1, shedsAll: false, ...change });
  }
}

function executionsOf(identity: string): number {
  const counts = fleet.backends.map((backend) => backend.executions().get(identity) ?? 0);
  return counts.reduce((sum, count) => sum + count, 0);
}

const kinds = {
  browse: { path: '/catalogue/poles', call: {} },
  single: { path: '/stock', call: { method: 'PUT', body: 'x' } },
  order: { path: '/orders', call: { method: 'POST', body: 'one pallet' } },
} as const satisfies Record<string, { path: string; call: TestCall }>;

interface FaultCase {
  readonly title: string;
  readonly fault: AnswerFault;
  readonly kind: keyof typeof kinds;
  readonly result: string;
  readonly execution?: string;
  readonly executions: number;
}

const faultCases: readonly FaultCase[] = [
  { title: 'no fault', fault: 'none', kind: 'browse', result: 'answered', executions: 1 },
  {
    title: 'idempotent work whose answer broke before its head is repeated within the bound',
    fault: 'breaksBeforeHead',
    kind: 'browse',
    result: 'BL3006',
    execution: 'unknown',
    executions: 2,
  },
  {
    title: 'work that may run only once is not repeated after a broken answer',
    fault: 'breaksBeforeHead',
    kind: 'single',
    result: 'BL3006',
    execution: 'unknown',
    executions: 1,
  },
  {
    title: 'an answer shorter than its stated length is broken off',
    fault: 'cutsLength',
    kind: 'browse',
    result: 'broken',
    executions: 1,
  },
  {
    title: 'a chunked answer without its end is broken off',
    fault: 'cutsChunked',
    kind: 'browse',
    result: 'broken',
    executions: 1,
  },
  {
    title: 'an answer that states no end is refused',
    fault: 'openEnded',
    kind: 'single',
    result: 'BL3020',
    execution: 'ran',
    executions: 1,
  },
  {
    title: 'a hanging backend server ends the call at its deadline',
    fault: 'hangs',
    kind: 'browse',
    result: 'BL3005',
    execution: 'unknown',
    executions: 1,
  },
];

for (const [index, host] of ['the host of the backend servers', 'another host'].entries()) {
  for (const entry of faultCases) {
    test.serial(`${entry.title}, called at ${host}`, async (t) => {
      behave({ answerFault: entry.fault });
      const { path, call } = kinds[entry.kind];
      const identity = `fault-${index}-${entry.title}`;
      const reply = await fleet.call(index, path, {
        ...call,
        headers: { [testIdentityHeader]: identity },
      });
      const { result, execution } = reply;
      t.deepEqual(
        { result, execution, executions: executionsOf(identity) },
        { result: entry.result, execution: entry.execution, executions: entry.executions },
      );
    });
  }
}

test.serial('a call whose head just fits is forwarded to another host', async (t) => {
  behave({});
  const headers = { 'x-long': 'x'.repeat(longFieldBytes) };
  const reply = await fleet.call(1, '/catalogue/poles', { headers });
  t.is(reply.result, 'answered');
  t.is(reply.status, 200);
});

test.serial('a call refused by each backend server is proved not run', async (t) => {
  behave({ shedsAll: true });
  const reply = await fleet.call(0, '/stock', { method: 'PUT', body: 'x' });
  t.like(reply, { result: 'BL3015', execution: 'notRun', status: 503 });
  t.is(executionsOf('shed'), 0);
});

test.serial(
  'idempotent work whose answer broke is answered by another backend server',
  async (t) => {
    behave({});
    fleet.backends[0]!.behave({ answerFault: 'breaksBeforeHead' });
    const results = await Promise.all(
      Array.from({ length: 4 }, () => fleet.call(0, '/catalogue/poles')),
    );
    t.deepEqual(
      results.map((reply) => reply.result),
      ['answered', 'answered', 'answered', 'answered'],
    );
  },
);

test.serial('the hang-up of a caller cancels the work', async (t) => {
  behave({ answerFault: 'isLate', lateMs: 200 });
  const cancelledBefore = fleet.backends.map((backend) => backend.counts().cancelled);
  const aborter = new AbortController();
  const reply = fleet.call(1, '/catalogue/poles', { signal: aborter.signal });
  const isRunning = () => fleet.backends.some((backend) => backend.counts().inFlight > 0);
  await until(isRunning);
  aborter.abort();
  await t.throwsAsync(reply, { any: true });
  await until(() => !isRunning());
  const cancelled = fleet.backends.map((backend) => backend.counts().cancelled);
  t.is(
    cancelled.reduce((sum, count) => sum + count, 0),
    cancelledBefore.reduce((sum, count) => sum + count, 0) + 1,
  );
});

test.serial(
  'a call whose slot was lost before its request could go is proved not run',
  async (t) => {
    behave({});
    const { parts } = fleet.hosts[0]!;
    const { placeCall } = parts;
    const loseFirst: PlaceCall = async (pending) => {
      const placement = await placeCall(pending);
      if (placement.place !== 'backend' || pending.attempt > 0) return placement;
      return { ...placement, mayStart: () => false };
    };
    const received = () => fleet.backends.reduce((sum, { counts }) => sum + counts().received, 0);
    const before = received();
    parts.provide({ placeCall: loseFirst });
    const repeated = await fleet.call(0, kinds.single.path, kinds.single.call);
    parts.provide({ placeCall: async (pending) => loseFirst({ ...pending, attempt: 0 }) });
    const refused = await fleet.call(0, kinds.single.path, kinds.single.call);
    parts.provide({ placeCall });
    t.like(repeated, { result: 'answered' });
    t.like(refused, { result: 'BL3003', execution: 'notRun' });
    t.is(received() - before, 1);
  },
);

test.serial('a call is never forwarded across zones twice', async (t) => {
  behave({});
  fleet.hosts[0]!.parts.provide({
    placeCall: (pending) =>
      Promise.resolve({
        place: 'host',
        hostId: pending.origin === 'otherZone' ? 'b1' : 'a1',
        release: () => undefined,
      }),
  });
  const reply = await fleet.call(2, '/catalogue/poles');
  t.like(reply, { result: 'BL3011', execution: 'notRun' });
});
