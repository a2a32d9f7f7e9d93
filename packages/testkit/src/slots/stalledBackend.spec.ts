import { setTimeout as sleep } from 'node:timers/promises';

import { slotsFeature } from '@buckthornlug/host/slots/slotsFeature.js';
import test from 'ava';

import { callsFeature } from '@buckthornlug/host/calls/callsFeature.js';
import { startCallFleet, until } from '../calls/callFleet.js';
import { createTestDocument, inForce } from '../fakes/testDocument.js';

/** Time after which a cancelled call gives its slot back where its backend server is well. */
const settleMs = 100;

test('a slot of a cancelled call rests until its backend server is heard of again', async (t) => {
  const fleet = await startCallFleet({
    hosts: [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' }],
    document: inForce(createTestDocument()),
    backendHosts: [0],
    slots: 1,
    features: [slotsFeature, callsFeature],
  });
  t.teardown(() => fleet.stop());
  const [backend] = fleet.backends;
  const [host] = fleet.hosts;
  const freeSlots = () => {
    const status = host!.parts.running.find(({ name }) => name === 'slots')?.status?.();
    const [pool] = (status?.pools ?? []) as { freeSlots: number }[];
    return pool?.freeSlots ?? 0;
  };
  await until(() => freeSlots() === 1);
  backend!.behave({ answerFault: 'hangs' });
  const aborter = new AbortController();
  const call = fleet.call(0, '/catalogue', { signal: aborter.signal }).catch(() => undefined);
  await until(() => backend!.counts().inFlight === 1);
  backend!.behave({ announces: false });
  await sleep(settleMs);
  aborter.abort();
  await call;
  await sleep(2 * settleMs);
  t.is(freeSlots(), 0, 'the backend server was silent');
  backend!.behave({ announces: true, answerFault: 'none' });
  await backend!.announceNow();
  await until(() => freeSlots() === 1, settleMs);
});
