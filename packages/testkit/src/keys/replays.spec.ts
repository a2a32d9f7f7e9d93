import { features } from '@buckthornlug/host/features.js';
import { createRequestAuth, type SignedParts } from '@buckthornlug/host/rpc/requestAuth.js';
import { startHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { forwardedCallHeader } from '@buckthornlug/protocol/calls/forwardedCallSchema.js';
import test from 'ava';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { valueOf } from '../fakes/results.js';

const hostIds = ['a1', 'a2'];
const fleet = hostIds.map((hostId) => ({ hostId, region: 'lagos', availabilityZone: 'lagos-a' }));
const [sender, ...receivers] = createFleetSettings([
  { hostId: 'a0', region: 'lagos', availabilityZone: 'lagos-a' },
  ...fleet,
]);
const hosts = await Promise.all(
  receivers.map(async (settings) => valueOf(await startHost(settings, { features }))),
);

test.after.always(() => Promise.all(hosts.map((host) => host.stop())));

interface SentRequest extends Omit<SignedParts, 'toHostId'> {
  readonly receiver: string;
  readonly headers: Record<string, string>;
}

/** Sends a request; answers with its result code, or `accepted` where the signature was taken. */
async function send(request: SentRequest): Promise<string> {
  const { receiver, method, path, routing, body, headers } = request;
  const { address, port } = receivers[hostIds.indexOf(receiver)]!.listen.internal;
  const reply = await fetch(`http://${address}:${port}${path}`, {
    method,
    headers: { ...headers, ...(routing === undefined ? {} : { [forwardedCallHeader]: routing }) },
    ...(method === 'GET' || body === undefined ? {} : { body }),
  });
  await reply.text();
  return reply.headers.get('x-buckthornlug-code') === 'BL6001' ? 'BL6001' : 'accepted';
}

const procedure: SignedParts = { toHostId: 'a1', method: 'GET', path: '/rpc/ping.ping', body: '' };
const forwardedCall: SignedParts = { toHostId: 'a1', method: 'GET', path: '/shop', routing: '{}' };
const withBody: SignedParts = { ...procedure, method: 'POST', body: '{"a":1}' };

const replays: {
  fault: string;
  signed: SignedParts;
  ageMs?: number;
  first?: Partial<SentRequest>;
  second: Partial<SentRequest>;
  result: string;
}[] = [
  { fault: 'none', signed: procedure, second: {}, result: 'accepted' },
  { fault: 'a body unchanged', signed: withBody, second: {}, result: 'accepted' },
  {
    fault: 'sent once more to the same host',
    signed: procedure,
    first: {},
    second: {},
    result: 'BL6001',
  },
  {
    fault: 'sent to another host',
    signed: procedure,
    second: { receiver: 'a2' },
    result: 'BL6001',
  },
  {
    fault: 'sent to another host after its own',
    signed: withBody,
    first: {},
    second: { receiver: 'a2' },
    result: 'BL6001',
  },
  {
    fault: 'a forwarded call sent to another host',
    signed: forwardedCall,
    second: { receiver: 'a2' },
    result: 'BL6001',
  },
  { fault: 'signed long ago', signed: procedure, ageMs: 121_000, second: {}, result: 'BL6001' },
  { fault: 'another body', signed: withBody, second: { body: '{"a":2}' }, result: 'BL6001' },
];

for (const { fault, signed, ageMs = 0, first, second, result } of replays) {
  test(`a signed request is taken by its receiver, once and in time; fault: ${fault}`, async (t) => {
    const auth = createRequestAuth(sender!, () => Date.now() - ageMs);
    const { toHostId: receiver, ...parts } = signed;
    const request: SentRequest = { ...parts, receiver, headers: auth.sign(signed) };
    if (first !== undefined) t.is(await send({ ...request, ...first }), 'accepted');
    t.is(await send({ ...request, ...second }), result);
  });
}
