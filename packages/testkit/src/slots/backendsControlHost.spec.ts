import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { adminFeature } from '@buckthornlug/host/admin/adminFeature.js';
import { callsFeature } from '@buckthornlug/host/calls/callsFeature.js';
import { membershipFeature } from '@buckthornlug/host/membership/membershipFeature.js';
import { backendsFeature } from '@buckthornlug/host/slots/backendsFeature.js';
import { slotsFeature } from '@buckthornlug/host/slots/slotsFeature.js';
import { backendsReplySchema } from '@buckthornlug/protocol/admin/adminSchema.js';
import test from 'ava';
import { request } from 'undici';

import { startCallFleet } from '../calls/callFleet.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { createTestDocument, inForce } from '../fakes/testDocument.js';

const limitMs = 15_000;

test('a host with the control role alone lists the backend servers of the entry hosts', async (t) => {
  const dataFolder = await mkdtemp(join(tmpdir(), 'bl-backends-'));
  const fleet = await startCallFleet({
    hosts: [
      { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a', address: loopbackAddress(31) },
      {
        ...{ hostId: 'c1', region: 'lagos', availabilityZone: 'lagos-b', roles: ['control'] },
        address: loopbackAddress(32),
      },
    ],
    overrides: { dataFolder, groups: [{ id: 'control', members: ['c1'] }] },
    document: inForce(createTestDocument()),
    backendHosts: [0],
    features: [membershipFeature, slotsFeature, backendsFeature, callsFeature, adminFeature],
  });
  t.teardown(async () => {
    await fleet.stop();
    await rm(dataFolder, { recursive: true, force: true });
  });
  const { address, port } = fleet.settings[1]!.listen.admin;
  const startMs = performance.now();
  let names: string[] = [];
  while (names.length === 0 && performance.now() - startMs < limitMs) {
    const reply = await request(`http://${address}:${port}/v1/backends`);
    t.is(reply.statusCode, 200);
    const { backends } = backendsReplySchema.parse(await reply.body.json());
    names = backends.map(({ backendId }) => backendId);
    await delay(20);
  }
  t.deepEqual(names, ['backend-1']);
});
