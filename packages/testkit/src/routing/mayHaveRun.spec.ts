import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { startRoutedFleet } from './routedFleet.js';

const registeredMs = 500;

test('a call that may have run is not refused as not run, whoever turns it down next', async (t) => {
  const fleet = await startRoutedFleet();
  t.teardown(() => fleet.stop());
  const breaking = await fleet.addBackend('breaks', (incoming) => {
    incoming.socket.destroy();
    return { status: 200 };
  });
  await fleet.addBackend('sheds', () => ({ status: 503, notRun: true }));
  await delay(registeredMs);
  for (let key = 0; key < 20; key += 1) {
    const before = breaking.requests.length;
    const { status } = await fleet.call('/reads/1', { 'x-object-key': String(key) });
    t.is(status, breaking.requests.length > before ? 502 : 503);
  }
  t.true(breaking.requests.length > 0);
});
