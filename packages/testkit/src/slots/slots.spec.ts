import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import { testAnnounceKey } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { testService } from '../fakes/testDocument.js';
import { until } from '../calls/callFleet.js';
import { startSlotsFleet } from './slotsFleet.js';

const backendPort = 7100;
const slots = 3;

const fleet = await startSlotsFleet([
  { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
  { hostId: 'a2', region: 'lagos', availabilityZone: 'lagos-a' },
  { hostId: 'b1', region: 'lagos', availabilityZone: 'lagos-b' },
]);
const backends: FakeBackend[] = [];

function startBackend(number: number, host: number): Promise<FakeBackend> {
  const { settings } = fleet.hosts[host]!.context;
  return startFakeBackend({
    backendId: `worker-${number}`,
    service: testService,
    availabilityZone: settings.availabilityZone,
    endpoint: { address: loopbackAddress(120 + number), port: backendPort },
    hosts: [settings.listen.callers],
    announceKey: testAnnounceKey,
    slots,
    meanMs: 20,
    p99OfMean: 2,
    seed: number,
  });
}

async function untilAnswered(host: number): Promise<void> {
  for (let attempt = 0; attempt < 400; attempt += 1) {
    if ((await fleet.call(host)) === 'answered') return;
    await delay(10);
  }
  throw new Error('the host never answered');
}

/** Sends calls to hosts in turn, a few at a time, and counts the results. */
async function sendCalls(hosts: readonly number[], calls: number) {
  const results: Record<string, number> = {};
  const send = async (index: number) => {
    const result = await fleet.call(hosts[index % hosts.length]!);
    results[result] = (results[result] ?? 0) + 1;
  };
  await Promise.all(Array.from({ length: calls }, (_, index) => send(index)));
  return results;
}

test.before(async () => {
  backends.push(await startBackend(1, 0), await startBackend(2, 1), await startBackend(3, 2));
  for (const host of [0, 1, 2]) await untilAnswered(host);
});

test.after.always(async () => {
  await Promise.all(backends.map((backend) => backend.kill()));
  await fleet.stop();
});

test.serial('all backend servers of a zone come under one host', async (t) => {
  const owner = fleet.hosts[0]!.parts.poolOwner('lagos-a', testService);
  const pools = () =>
    fleet.hosts.slice(0, 2).map((host) => {
      const status = host.parts.running.find((feature) => feature.name === 'slots')?.status?.();
      const [pool] = (status?.pools ?? []) as { readonly slots: number }[];
      return { hostId: host.context.settings.hostId, slots: pool?.slots ?? 0 };
    });
  await until(() => pools().some((pool) => pool.slots === 2 * slots));
  t.is(pools().find((pool) => pool.slots > 0)?.hostId, owner);
});

test.serial('more calls than slots never run at the same time on a backend server', async (t) => {
  await sendCalls([0, 1], 60);
  const counts = backends.map((backend) => backend.counts());
  t.deepEqual(
    counts.map(({ shed }) => shed),
    [0, 0, 0],
  );
  t.true(counts.every(({ mostInFlight }) => mostInFlight <= slots));
  t.is(Math.max(...counts.map(({ mostInFlight }) => mostInFlight)), slots);
});

test.serial('a zone under pressure sends calls to another one by credit', async (t) => {
  const before = backends[2]!.counts().received;
  const results = await sendCalls([0], 100);
  t.true(backends[2]!.counts().received > before, JSON.stringify(results));
  t.is(backends[2]!.counts().shed, 0);
});

test.serial('a call of another zone without a credit is refused as not run', async (t) => {
  const placement = await fleet.hosts[2]!.parts.placeCall({
    requestId: 'forged',
    service: testService,
    kind: 'browse',
    rank: 0,
    execution: 'idempotent',
    arrivedAtMs: 0,
    targetAtMs: Number.MAX_SAFE_INTEGER,
    deadlineAtMs: Number.MAX_SAFE_INTEGER,
    attempt: 0,
    excluded: [],
    origin: 'otherZone',
    originRegion: 'lagos',
    creditId: 'forged',
    signal: new AbortController().signal,
  });
  t.like(placement, { place: 'refused', failure: { code: 'BL3012' } });
});

test.serial('a leaving backend server gets no new call', async (t) => {
  const [, leaving] = backends;
  t.teardown(() => leaving!.setState('ready'));
  await leaving!.setState('leaving');
  const before = leaving!.counts().received;
  const rounds = [];
  for (let round = 0; round < 4; round += 1) rounds.push(await sendCalls([0, 1], 5));
  t.is(leaving!.counts().received, before);
  t.deepEqual(rounds, Array(4).fill({ answered: 5 }));
});

test.serial('a backend server that breaks its answers is ejected and work goes on', async (t) => {
  await untilAnswered(0);
  backends[0]!.behave({ answerFault: 'breaksBeforeHead' });
  for (let round = 0; round < 20; round += 1) await sendCalls([0, 1], 4);
  const before = backends[0]!.counts().received;
  const results = await sendCalls([0, 1], 12);
  t.is(results.answered, 12, JSON.stringify(results));
  t.true(backends[0]!.counts().received - before <= 1, 'at most one probe');
  backends[0]!.behave({ answerFault: 'none' });
});

test.serial('a planned stop of a pool owner hands its slots over without overload', async (t) => {
  await untilAnswered(0);
  const ownerId = fleet.hosts[0]!.parts.poolOwner('lagos-a', testService);
  const owner = ownerId === 'a1' ? 0 : 1;
  const other = 1 - owner;
  const shedBefore = backends.map((backend) => backend.counts().shed);
  let isStopped = false;
  const stopped = fleet.hosts[owner]!.stop().then(() => {
    isStopped = true;
  });
  const results: Record<string, number> = {};
  while (!isStopped) {
    const result = await fleet.call(other);
    results[result] = (results[result] ?? 0) + 1;
  }
  await stopped;
  await untilAnswered(other);
  t.is(fleet.hosts[other]!.parts.poolOwner('lagos-a', testService), other === 0 ? 'a1' : 'a2');
  t.deepEqual(
    backends.map((backend) => backend.counts().shed),
    shedBefore,
  );
  t.deepEqual(Object.keys(results), ['answered'], JSON.stringify(results));
});
