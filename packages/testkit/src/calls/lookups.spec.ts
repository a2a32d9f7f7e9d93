import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { lookupPath } from '@buckthornlug/protocol/calls/callHeaders.js';
import { lookupReplySchema } from '@buckthornlug/protocol/lookup/lookupSchema.js';
import test from 'ava';
import { Agent, request } from 'undici';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { valueOf } from '../fakes/results.js';
import { createTestDocument, inForce, testService } from '../fakes/testDocument.js';
import { until } from './callFleet.js';

const lookupTtlMs = 200;
const nearB = loopbackAddress(201);
const settings = createFleetSettings([
  { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
  { hostId: 'a2', region: 'lagos', availabilityZone: 'lagos-a' },
  { hostId: 'b1', region: 'lagos', availabilityZone: 'lagos-b' },
]);
const document = createTestDocument({
  lookupTtlMs,
  clientBlocks: { near: [{ block: `${nearB}/32`, availabilityZone: 'lagos-b' }] },
});
const hosts: RunningHost[] = [];

test.before(async () => {
  for (const entry of settings) {
    hosts.push(valueOf(await startHost(entry, { document: inForce(document) })));
  }
  await until(() =>
    hosts.every(({ parts }) => parts.membership.hosts().every((host) => host.state === 'alive')),
  );
  await until(() => hosts.every(({ parts }) => parts.membership.hosts().length === hosts.length));
});

test.after.always(() => Promise.all(hosts.map((host) => host.stop())));

async function lookUp(host: number, localAddress = '127.0.0.1'): Promise<string[]> {
  const agent = new Agent({ localAddress });
  const { address, port } = settings[host]!.listen.callers;
  const reply = await request(`http://${address}:${port}${lookupPath}?service=${testService}`, {
    dispatcher: agent,
  });
  const content = lookupReplySchema.parse(await reply.body.json());
  await agent.destroy();
  return content.hosts.map((entry) => entry.hostId);
}

test.serial(
  'a caller outside all blocks is sent to the zone of the host that it asks',
  async (t) => {
    const named = await lookUp(0);
    t.is(named[0], hosts[0]!.parts.poolOwner('lagos-a', testService));
    t.deepEqual([...named.slice(0, 2)].sort(), ['a1', 'a2']);
    t.is(named[2], 'b1');
  },
);

test.serial('a caller inside a block is sent to the zone of the block', async (t) => {
  const named = await lookUp(0, nearB);
  t.is(named[0], 'b1');
});

test.serial(
  'a leaving host is no longer named, and serves while it may still be cached',
  async (t) => {
    const startedAtMs = performance.now();
    const stopped = hosts[1]!.stop();
    await until(() => hosts[0]!.parts.membership.find('a2')?.state === 'leaving');
    t.deepEqual(await lookUp(0), ['a1', 'b1']);
    t.false((await lookUp(1)).includes('a2'));
    await stopped;
    t.true(performance.now() - startedAtMs >= lookupTtlMs);
  },
);
