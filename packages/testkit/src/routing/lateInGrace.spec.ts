import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { startRoutedFleet, type RegisteredFake, type RoutedFleet } from './routedFleet.js';

/**
 * Calls during a planned stop, in calm. Guards against calls that a stopping host accepts late in its grace period,
 * passes on and cuts without an answer, among them orders. The time limit of both routes is 2000 ms.
 */

const registrationMs = 500;

let fleet: RoutedFleet;
let backend: RegisteredFake;

/** Starts a fleet whose backend server of two slots takes `workMs` for a call to `/long`. */
async function start(
  workMs: number,
  timing: { readonly leaveLookupMs: number; readonly stopGraceMs: number },
): Promise<void> {
  fleet = await startRoutedFleet(timing);
  backend = await fleet.addBackend('b-1', ({ url }) => ({
    status: 200,
    delayMs: url?.endsWith('/long') === true ? workMs : 0,
  }));
  await delay(registrationMs);
}

test.afterEach.always(() => fleet.stop());

function order(id: string, path = '/orders/long', fields: Record<string, string> = {}) {
  return fleet.call(path, { 'x-request-id': id, ...fields }, 'POST');
}

function wasPassedOn(id: string): boolean {
  return backend.requests.some((fields) => fields['x-request-id'] === id);
}

test.serial('an order that could outlast the host is refused and not passed on', async (t) => {
  await start(1700, { leaveLookupMs: 1200, stopGraceMs: 1500 });
  const stopped = fleet.entry.stop();
  await delay(1000);
  const refused = await order('late');
  t.is(refused.status, 503);
  t.not(refused.retryAfter, undefined);
  t.false(wasPassedOn('late'));
  await stopped;
});

test.serial('an order that ends before the host is taken and answered', async (t) => {
  await start(1700, { leaveLookupMs: 1200, stopGraceMs: 1500 });
  const stopped = fleet.entry.stop();
  await delay(300);
  t.is((await order('early')).status, 200);
  await stopped;
});

test.serial('an order with a short time limit is taken late and answered', async (t) => {
  await start(1700, { leaveLookupMs: 1200, stopGraceMs: 1500 });
  const stopped = fleet.entry.stop();
  await delay(1000);
  const limit = { 'x-buckthornlug-time-left-ms': '800' };
  t.is((await order('short', '/orders/1', limit)).status, 200);
  await stopped;
});

/** Sends more orders than the backend server takes; some wait for a slot when the stop begins. */
async function stopWithWaitingOrders(): Promise<readonly string[]> {
  const ids = Array.from({ length: 16 }, (_, index) => `order-${index}`);
  const answers = ids.map((id) => order(id));
  await delay(300);
  const stopped = fleet.entry.stop();
  const ends = (await Promise.all(answers)).map(
    ({ status }, index) => `${status} ${wasPassedOn(ids[index] ?? '') ? 'passed on' : 'waited'}`,
  );
  await stopped;
  return [...new Set(ends)].sort();
}

test.serial('an order that gets its slot too late in the stop is not passed on', async (t) => {
  await start(1300, { leaveLookupMs: 600, stopGraceMs: 600 });
  t.deepEqual(await stopWithWaitingOrders(), ['200 passed on', '503 waited']);
});

test.serial('at its end a host answers what is in flight, truthfully', async (t) => {
  await start(1900, { leaveLookupMs: 300, stopGraceMs: 500 });
  t.deepEqual(await stopWithWaitingOrders(), ['503 waited', '504 passed on']);
});
