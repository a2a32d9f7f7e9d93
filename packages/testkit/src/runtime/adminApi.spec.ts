import { startHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { timelineEventSchema } from '@buckthornlug/protocol/events/eventSchema.js';
import test from 'ava';
import { request } from 'undici';
import { z } from 'zod';

import { createFleetSettings } from '../fakes/hostSettings.js';

const replySchema = z.object({
  events: z.array(timelineEventSchema),
  missingHosts: z.array(z.string()),
});

test('the administration API merges the events of the hosts that answer and names the others', async (t) => {
  const [first, second] = createFleetSettings([
    { hostId: 'north-1', region: 'north', availabilityZone: 'north-a' },
    { hostId: 'north-2', region: 'north', availabilityZone: 'north-a' },
    { hostId: 'north-3', region: 'north', availabilityZone: 'north-a' },
  ]);
  if (first === undefined || second === undefined) throw new Error('settings are missing');
  const hosts = [
    (await startHost(first))._unsafeUnwrap(),
    (await startHost(second))._unsafeUnwrap(),
  ];
  t.teardown(() => Promise.all(hosts.map((host) => host.stop())));

  const origin = `http://${first.listen.admin.address}:${first.listen.admin.port}`;
  const answer = await request(`${origin}/v1/timeline?kind=hostStarted`);
  const reply = replySchema.parse(await answer.body.json());
  t.deepEqual(reply.events.map((event) => event.hostId).sort(), ['north-1', 'north-2']);
  t.deepEqual(reply.missingHosts, ['north-3']);

  const metrics = await request(`${origin}/metrics/all`);
  t.is(metrics.statusCode, 200);
  await metrics.body.text();
});
