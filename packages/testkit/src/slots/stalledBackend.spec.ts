import { setTimeout as sleep } from 'node:timers/promises';

import test from 'ava';

import { until } from '../calls/callFleet.js';
import { startOneSlotFleet } from './oneSlotFleet.js';

/** Time after which a cancelled call gives its slot back where its backend server is well. */
const settleMs = 100;

test('a slot of a cancelled call rests until its backend server is heard of again', async (t) => {
  const { backend, call: send, freeSlots } = await startOneSlotFleet(t);
  backend.behave({ answerFault: 'hangs' });
  const aborter = new AbortController();
  const call = send(0, '/catalogue', { signal: aborter.signal }).catch(() => undefined);
  await until(() => backend.counts().inFlight === 1);
  backend.behave({ announces: false });
  await sleep(settleMs);
  aborter.abort();
  await call;
  await sleep(2 * settleMs);
  t.is(freeSlots(), 0, 'the backend server was silent');
  backend.behave({ announces: true, answerFault: 'none' });
  await backend.announceNow();
  await until(() => freeSlots() === 1, settleMs);
});
