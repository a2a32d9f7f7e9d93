import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { startRoutedFleet, type RoutedFleet } from './routedFleet.js';

/**
 * A backend server that answers with a status which says "not run", but without the field that proves it.
 * Guards against orders that ran and are answered with a promise that they did not.
 */

const registrationMs = 500;

let fleet: RoutedFleet;

test.beforeEach(async () => {
  fleet = await startRoutedFleet();
});

test.afterEach.always(() => fleet.stop());

interface Refusal {
  readonly status: number;
  readonly isProven?: boolean;
  readonly path: string;
  readonly expected: number;
}

const cases: readonly Refusal[] = [
  { status: 503, path: '/orders/1', expected: 502 },
  { status: 429, path: '/orders/1', expected: 502 },
  { status: 408, path: '/orders/1', expected: 502 },
  { status: 500, path: '/orders/1', expected: 500 },
  { status: 503, isProven: true, path: '/orders/1', expected: 503 },
  { status: 503, path: '/reads/1', expected: 503 },
];

/** Sends one call to a backend server that refuses it. */
async function statusOf({ status, isProven = false, path }: Refusal): Promise<number> {
  await fleet.addBackend('b-1', () => ({ status, notRun: isProven }));
  await delay(registrationMs);
  const method = path.startsWith('/orders') ? 'POST' : 'GET';
  return (await fleet.call(path, {}, method)).status;
}

for (const refusal of cases) {
  const { status, isProven = false, path, expected } = refusal;
  const proof = isProven ? 'with' : 'without';
  test.serial(`${status} ${proof} proof for ${path} is answered with ${expected}`, async (t) => {
    t.is(await statusOf(refusal), expected);
  });
}

test.serial('an order is not sent again after a refusal without proof', async (t) => {
  const backends = [];
  for (const backendId of ['b-1', 'b-2']) {
    backends.push(await fleet.addBackend(backendId, () => ({ status: 503 })));
  }
  await delay(registrationMs);
  t.is((await fleet.call('/orders/1', {}, 'POST')).status, 502);
  t.is(backends.flatMap(({ requests }) => requests).length, 1);
});
