import { createSocket } from 'node:dgram';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';

import { signRequest } from '@buckthornlug/core/keys/requestSignature.js';
import { encodeDatagram } from '@buckthornlug/core/membership/datagramCodec.js';
import { features } from '@buckthornlug/host/features.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { announceKeyHeader, announcePath } from '@buckthornlug/protocol/calls/callHeaders.js';
import test from 'ava';

import { firstSubmission } from '../control/controlFleet.js';
import { signedRequest } from '../control/formationFleet.js';
import { createFleetSettings, testAnnounceKey, testClusterKey } from '../fakes/hostSettings.js';
import { valueOf } from '../fakes/results.js';
import { createTestDocument } from '../fakes/testDocument.js';

const wrongKey = { id: testClusterKey.id, secret: 'wrong-secret-0123456789' };
const secrets = [testClusterKey.secret, testAnnounceKey.secret, wrongKey.secret];

async function refusalCode(reply: Response): Promise<string> {
  const { code, failure } = (await reply.json()) as { code?: string; failure?: { code: string } };
  return code ?? failure?.code ?? 'none';
}

function originOf(endpoint: { address: string; port: number }): string {
  return `http://${endpoint.address}:${endpoint.port}`;
}

/** Wrong keys: who sends what, and what must come of it. */
const faults = [
  {
    fault: 'a request between hosts',
    code: 'BL6001',
    event: 'keyRefused',
    send: async ({ context }: RunningHost) => {
      const path = '/rpc/ping.ping';
      const request = { method: 'GET', path, routing: '', body: '' };
      const parts = { hostId: 'b1', toHostId: 'a1', sentAtMs: Date.now(), nonce: 'n1' };
      const signature = signRequest(wrongKey, request, parts);
      const url = `${originOf(context.settings.listen.internal)}${path}`;
      return refusalCode(await fetch(url, { headers: { 'x-buckthornlug-signature': signature } }));
    },
  },
  {
    fault: 'a forwarded call',
    code: 'BL6001',
    event: 'keyRefused',
    send: async ({ context }: RunningHost) => {
      const url = `${originOf(context.settings.listen.internal)}/catalogue`;
      return refusalCode(await fetch(url, { headers: { 'x-buckthornlug-forwarded': '{}' } }));
    },
  },
  {
    fault: 'an announcement',
    code: 'BL4002',
    event: 'keyRefused',
    send: async ({ context }: RunningHost) => {
      const url = `${originOf(context.settings.listen.callers)}${announcePath}`;
      const headers = { [announceKeyHeader]: `${testAnnounceKey.id}:${wrongKey.secret}` };
      return refusalCode(await fetch(url, { method: 'POST', headers, body: '{}' }));
    },
  },
  {
    fault: 'a submission',
    code: 'BL2006',
    event: 'submissionRefused',
    send: async ({ context }: RunningHost) => {
      const url = `${originOf(context.settings.listen.admin)}/v1/submissions`;
      const submission = { ...firstSubmission(createTestDocument()), signature: 'x'.repeat(43) };
      const headers = { 'content-type': 'application/json' };
      const body = JSON.stringify(submission);
      return refusalCode(await fetch(url, { method: 'POST', headers, body }));
    },
  },
  {
    fault: 'a request to form a group anew',
    code: 'BL2006',
    event: 'lossRefused',
    send: async ({ context }: RunningHost) => {
      const url = `${originOf(context.settings.listen.admin)}/v1/groups/control/form-anew`;
      const signer = { team: 'cluster', keyId: wrongKey.id, secret: wrongKey.secret };
      const body = JSON.stringify(signedRequest('control', 'a1/none', signer));
      return refusalCode(await fetch(url, { method: 'POST', body }));
    },
  },
  {
    fault: 'a datagram of the membership',
    code: 'BL6001',
    event: 'keyRefused',
    send: async ({ context }: RunningHost) => {
      const { address, port } = context.settings.listen.internal;
      const socket = createSocket('udp4');
      await new Promise<void>((resolve) => {
        socket.send(encodeDatagram(wrongKey, '{}'), port, address, () => resolve());
      });
      socket.close();
      return 'BL6001';
    },
  },
] as const;

for (const { fault, code, event, send } of faults) {
  test.serial(`a wrong key is refused and changes nothing: ${fault}`, async (t) => {
    const dataFolder = await mkdtemp(`${tmpdir()}/bl-keys-`);
    const [settings] = createFleetSettings(
      [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a', roles: ['entry', 'control'] }],
      { dataFolder, groups: [{ id: 'control', members: ['a1'] }], logLevel: 'debug' },
    );
    const lines: string[] = [];
    const writeLogLine = (line: string) => lines.push(line);
    const host = valueOf(await startHost(settings!, { features, writeLogLine }));
    t.teardown(async () => {
      await host.stop();
      await rm(dataFolder, { recursive: true, maxRetries: 10 });
    });
    t.is(await send(host), code);
    const refused = () =>
      host.context.timeline.read(-1).some((one) => one.kind === event && one.code === code);
    for (let attempt = 0; attempt < 100 && !refused(); attempt += 1) {
      await delay(20);
    }
    t.true(refused(), `event ${event} with ${code}`);
    t.is(host.parts.document.current(), undefined);
    t.is(host.parts.membership.hosts().length, 1);
    const told = lines.join('\n') + JSON.stringify(host.context.timeline.read(-1));
    for (const secret of secrets) t.false(told.includes(secret));
  });
}
