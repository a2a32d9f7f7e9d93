import test from 'ava';
import { Agent, request, type Dispatcher } from 'undici';

import { until } from '../calls/callFleet.js';
import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import type { Behaviour } from '../fakes/fakeBackendTypes.js';
import { testAnnounceKey } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { testHostName, testService } from '../fakes/testDocument.js';
import { startSlotsFleet } from './slotsFleet.js';

const backendPort = 7100;
const errorStatus = 500;
const answerBytes = 100_000;
const targetMs = 250;
/** Calls that fill the budget of ten. */
const fillingCalls = 100;
/** Calls that are sent at most until each backend server has got one. */
const maxCalls = 40;
const budgetShare = 0.1;
/** Hedges that the full budget allows at once. */
const savedHedges = 5;

const fleet = await startSlotsFleet(
  [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' }],
  { hedge: true },
);
const agent = new Agent({ connections: 64 });

function startBackend(number: number): Promise<FakeBackend> {
  const { settings } = fleet.hosts[0]!.context;
  return startFakeBackend({
    backendId: `worker-${number}`,
    service: testService,
    availabilityZone: 'lagos-a',
    endpoint: { address: loopbackAddress(140 + number), port: backendPort },
    hosts: [settings.listen.callers],
    announceKey: testAnnounceKey,
    meanMs: 10,
    p99OfMean: 2,
    seed: number,
    shedStatus: errorStatus,
  });
}

const backends = await Promise.all([1, 2].map(startBackend));

function behave(...changes: readonly Partial<Behaviour>[]): void {
  for (const [index, backend] of backends.entries()) {
    const change = changes[index] ?? {};
    backend.behave({ answerFault: 'none', shedsAll: false, lateMs: 0, answerBytes, ...change });
  }
}

const received = () => backends.map((backend) => backend.counts().received);

const sum = (counts: readonly number[]) => counts.reduce((total, count) => total + count, 0);

/** Sends one call; the id of the backend server where the whole answer came from it alone. */
async function call(path = '/catalogue', method: Dispatcher.HttpMethod = 'GET') {
  const { address, port } = fleet.hosts[0]!.context.settings.listen.callers;
  const startedAtMs = performance.now();
  const reply = await request(`http://${address}:${port}${path}`, {
    dispatcher: agent,
    method,
    headers: { host: testHostName },
  });
  const body = await reply.body.text();
  const elapsedMs = performance.now() - startedAtMs;
  if (reply.statusCode !== 200) return { status: reply.statusCode, elapsedMs };
  const { backendId } = JSON.parse(body) as { backendId: string };
  const isWhole = body.length === answerBytes;
  return { status: reply.statusCode, elapsedMs, backendId, isWhole };
}

/** Whether no backend server is ejected. */
function areAllIn(): boolean {
  const status = fleet.hosts[0]!.parts.running.find(({ name }) => name === 'slots')?.status?.();
  const [pool] = (status?.pools ?? []) as { backends: { standing: string }[] }[];
  return pool?.backends.every(({ standing }) => standing === 'in') ?? false;
}

/** Brings both backend servers back into the pool and fills the budget. */
async function recover(): Promise<void> {
  behave();
  for (let count = 0; count < fillingCalls || !areAllIn(); count += 1) await call();
}

test.before(async () => {
  await Promise.all(backends.map((backend) => backend.whenAnnounced()));
  behave();
  await until(() => backends.every((backend) => backend.counts().announcements > 2));
});

test.beforeEach(recover);

test.after.always(async () => {
  await agent.destroy();
  await Promise.all(backends.map((backend) => backend.kill()));
  await fleet.stop();
});

const lateCases: readonly { readonly title: string; readonly fault: Partial<Behaviour> }[] = [
  { title: 'a backend server answers late', fault: { answerFault: 'isLate', lateMs: 1500 } },
  { title: 'a backend server hangs', fault: { answerFault: 'hangs' } },
];

for (const { title, fault } of lateCases) {
  test.serial(`hedged work is answered inside its target though ${title}`, async (t) => {
    behave(fault);
    const before = received();
    const replies = [];
    const isTried = () => received()[0]! > before[0]!;
    while (replies.length < 4 || (!isTried() && replies.length < maxCalls)) {
      replies.push(await call());
    }
    t.true(isTried(), 'the faulty backend server was tried');
    for (const reply of replies) {
      t.like(reply, { status: 200, isWhole: true, backendId: 'worker-2' });
      t.true(reply.elapsedMs < targetMs, `${reply.elapsedMs} ms`);
    }
    await until(() => backends[0]!.counts().inFlight === 0, 1000);
  });
}

test.serial('answers of both attempts at the same time are never mixed', async (t) => {
  for (let lateMs = 10; lateMs <= 70; lateMs += 5) {
    behave({ answerFault: 'isLate', lateMs });
    for (let count = 0; count < 8; count += 1) {
      t.like(await call(), { status: 200, isWhole: true });
    }
  }
});

test.serial('an error answer of the second attempt does not outpace the first', async (t) => {
  behave({ answerFault: 'isLate', lateMs: 300 }, { shedsAll: true });
  let isRaced = false;
  for (let count = 0; count < maxCalls && !isRaced; count += 1) {
    const before = received();
    const { status } = await call();
    const [late = 0, failing = 0] = received().map((calls, index) => calls - before[index]!);
    t.is(status, late > 0 ? 200 : errorStatus);
    isRaced = late > 0 && failing > 0;
  }
  t.true(isRaced);
});

test.serial('work that may run only once is never hedged', async (t) => {
  behave({ answerFault: 'isLate', lateMs: 300 });
  const before = sum(received());
  for (let count = 0; count < 4; count += 1) await call('/other', 'POST');
  t.is(sum(received()) - before, 4);
});

test.serial(
  'from the start of a brown-out there are at most 1.1 attempts for each call',
  async (t) => {
    const late = { answerFault: 'isLate', lateMs: 150 } as const;
    behave(late, late);
    const before = sum(received());
    for (let calls = 1; calls <= 40; calls += 1) {
      await call();
      const attempts = sum(received()) - before;
      t.true(attempts <= calls * (1 + budgetShare) + savedHedges, `${attempts} for ${calls} calls`);
    }
  },
);

test.serial('the second attempt answers though the first one dies meanwhile', async (t) => {
  behave({ answerFault: 'hangs' }, { answerFault: 'isLate', lateMs: 250 });
  const before = received();
  const replies = [call(), call()];
  await until(() => sum(received()) - sum(before) >= 3);
  await backends[0]!.kill();
  for (const reply of await Promise.all(replies)) {
    t.like(reply, { status: 200, isWhole: true, backendId: 'worker-2' });
  }
  t.is(received()[1]! - before[1]!, 2, 'no third attempt');
});
