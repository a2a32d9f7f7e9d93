import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { startRoutedFleet } from './routedFleet.js';

/**
 * Guards against a host that is late to hear of a document and answers 404 for a route that was acknowledged to
 * its operator seconds before.
 */

const documentInForceMs = 2500;

test('a call without a route is refused for good only while the document is confirmed', async (t) => {
  const fleet = await startRoutedFleet();
  t.teardown(() => fleet.stop());
  await fleet.addBackend('b-1', () => ({ status: 200 }));
  await delay(500);
  t.is((await fleet.call('/added-later/1')).status, 404);
  await fleet.control.stop();
  await delay(documentInForceMs);
  const refused = await fleet.call('/added-later/1');
  t.is(refused.status, 503);
  t.not(refused.retryAfter, undefined);
  t.is((await fleet.call('/reads/1')).status, 200);
});
