import { setTimeout as delay } from 'node:timers/promises';

import { mergeBackends } from '@buckthornlug/host/slots/backendsView.js';
import {
  backendsReplySchema,
  type BackendStatus,
} from '@buckthornlug/protocol/admin/adminSchema.js';
import test from 'ava';
import { request } from 'undici';

import { startFakeBackend } from '../fakes/fakeBackend.js';
import { testAnnounceKey } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { testService } from '../fakes/testDocument.js';
import { startSlotsFleet } from './slotsFleet.js';

const limitMs = 15_000;

test('any host lists the backend servers as their pool owner sees them, also one that fell silent', async (t) => {
  const fleet = await startSlotsFleet([
    { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
    { hostId: 'a2', region: 'lagos', availabilityZone: 'lagos-a' },
    { hostId: 'b1', region: 'lagos', availabilityZone: 'lagos-b' },
  ]);
  const backend = await startFakeBackend({
    backendId: 'worker-1',
    service: testService,
    availabilityZone: 'lagos-a',
    endpoint: { address: loopbackAddress(121), port: 7100 },
    hosts: [fleet.hosts[0]!.context.settings.listen.callers],
    announceKey: testAnnounceKey,
    slots: 3,
    meanMs: 1,
    seed: 1,
  });
  t.teardown(() => Promise.all([fleet.stop(), backend.kill()]));
  const { address, port } = fleet.hosts[2]!.context.settings.listen.admin;
  const read = async () => {
    const reply = await request(`http://${address}:${port}/v1/backends`);
    return backendsReplySchema.parse(await reply.body.json());
  };
  const until = async (holds: (listed: readonly BackendStatus[]) => boolean) => {
    const startMs = performance.now();
    for (;;) {
      const { backends } = await read();
      if (holds(backends) || performance.now() - startMs > limitMs) return backends;
      await delay(20);
    }
  };
  const owner = () => fleet.hosts[0]!.parts.poolOwner('lagos-a', testService);
  // The pool moves once when the second host of the zone joins; the lease follows it.
  const held = await until(
    ([first]) => first?.holdsLease === true && first.ownerHostId === owner(),
  );
  t.is(held.length, 1);
  t.like(held[0], {
    backendId: 'worker-1',
    state: 'ready',
    holdsLease: true,
    ownerHostId: owner(),
  });
  await backend.kill();
  const gone = await until((listed) => listed.every((each) => !each.holdsLease));
  t.true(gone.every((each) => !each.holdsLease));
});

const seen: BackendStatus = {
  backendId: 'w1',
  service: 'shop',
  availabilityZone: 'a',
  endpoint: { address: '127.0.0.1', port: 1 },
  state: 'ready',
  ownerHostId: 'h1',
  slots: 3,
  usedSlots: 0,
  ejected: false,
  holdsLease: false,
  silentMs: 100,
};

const cases: { views: string; others: Partial<BackendStatus>[]; owners: string[] }[] = [
  { views: 'one holds the lease', others: [{ holdsLease: true, silentMs: 900 }], owners: ['h2'] },
  { views: 'none holds it, one heard last', others: [{ silentMs: 50 }], owners: ['h2'] },
  { views: 'a former owner heard long ago', others: [{ silentMs: 900 }], owners: ['h1'] },
  {
    views: 'another zone has one of the same name',
    others: [{ availabilityZone: 'b' }],
    owners: ['h1', 'h2'],
  },
];

for (const { views, others, owners } of cases) {
  test(`a backend server is listed once, by the host that knows best: ${views}`, (t) => {
    const other = others.map((each) => ({ ...seen, ownerHostId: 'h2', ...each }));
    for (const order of [
      [[seen], other],
      [other, [seen]],
    ]) {
      t.deepEqual(
        mergeBackends(order).map((each) => each.ownerHostId),
        owners,
      );
    }
  });
}
