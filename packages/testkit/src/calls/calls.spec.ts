import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test from 'ava';
import { request } from 'undici';

import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import { createFleetSettings, testAnnounceKey } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { valueOf } from '../fakes/results.js';
import { createTestDocument, inForce, testHostName, testService } from '../fakes/testDocument.js';

const document = inForce(createTestDocument());
const fleet = createFleetSettings([
  { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
  { hostId: 'a2', region: 'lagos', availabilityZone: 'lagos-a' },
]);
const backendPort = 7100;
let hosts: RunningHost[] = [];
let backends: FakeBackend[] = [];

function startBackend(settings: Settings, number: number): Promise<FakeBackend> {
  return startFakeBackend({
    backendId: `backend-${number}`,
    service: testService,
    availabilityZone: settings.availabilityZone,
    endpoint: { address: loopbackAddress(100 + number), port: backendPort },
    hosts: [settings.listen.callers],
    announceKey: testAnnounceKey,
    meanMs: 1,
    seed: number,
  });
}

test.before(async () => {
  for (const settings of fleet) {
    hosts.push(valueOf(await startHost(settings, { document })));
  }
  backends = [await startBackend(fleet[0]!, 1), await startBackend(fleet[0]!, 2)];
  await Promise.all(backends.map((backend) => backend.whenAnnounced()));
});

test.after.always(async () => {
  await Promise.all(backends.map((backend) => backend.kill()));
  await Promise.all(hosts.map((host) => host.stop()));
  hosts = [];
});

function call(host: number, path: string, options: Parameters<typeof request>[1] = {}) {
  const { address, port } = fleet[host]!.listen.callers;
  return request(`http://${address}:${port}${path}`, {
    ...options,
    headers: { host: testHostName, ...(options.headers as Record<string, string>) },
  });
}

test('a call reaches a backend server and its answer comes back whole', async (t) => {
  const reply = await call(0, '/catalogue/poles');
  t.is(reply.statusCode, 200);
  t.like(await reply.body.json(), { method: 'GET', url: '/catalogue/poles' });
});
