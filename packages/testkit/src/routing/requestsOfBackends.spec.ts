import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { timeUntil } from '../time/timeUntil.js';
import { startRoutedFleet, type RoutedFleet } from './routedFleet.js';

/** What backend servers ask of a host in their answers: to send no more calls, or none for a while. */

const settleMs = 500;
const pauseMs = 1500;

let fleet: RoutedFleet;

test.beforeEach(async () => {
  fleet = await startRoutedFleet();
});

test.afterEach.always(() => fleet.stop());

let lastObject = 0;

/** Sends calls about new objects, which are spread over all backend servers in use. */
async function callNewObjects(count: number): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let call = 0; call < count; call += 1) {
    lastObject += 1;
    const answer = await fleet.call('/reads/1', { 'x-object-key': `object-${lastObject}` });
    statuses.push(answer.status);
  }
  return statuses;
}

test.serial(
  'a backend server that says in an answer that it leaves gets no call from any host afterwards',
  async (t) => {
    const leaving = await fleet.addBackend('b-1', () => ({
      status: 200,
      fields: { 'x-leaving': '1' },
    }));
    await delay(settleMs);
    t.deepEqual(await fleet.call('/reads/1'), { status: 200, body: 'b-1' });
    const staying = await fleet.addBackend('b-2', () => ({ status: 200 }));
    await delay(settleMs);
    t.deepEqual(new Set(await callNewObjects(20)), new Set([200]));
    t.is(leaving.requests.length, 1);
    t.is(staying.requests.length, 20);

    const { registry } = fleet.control.parts.control?.machine ?? {};
    const isDraining = () => registry?.find('b-1')?.state === 'draining';
    t.true((await timeUntil(isDraining)) < Infinity);

    // A heartbeat that was sent before the announcement and arrives after it.
    const late = { ...leaving.report, sequence: 7 };
    (await fleet.control.parts.reportBackend(late))._unsafeUnwrap();
    await delay(settleMs);
    await callNewObjects(20);
    t.is(leaving.requests.length, 1);

    const restarted = { ...leaving.report, bornAtMs: leaving.report.bornAtMs + 1, sequence: 1 };
    (await fleet.control.parts.reportBackend(restarted))._unsafeUnwrap();
    await delay(settleMs);
    await callNewObjects(20);
    t.true(leaving.requests.length > 1);
  },
);

test.serial('a backend server that asks for a pause gets no call until it is over', async (t) => {
  let isOverloaded = true;
  const pausing = await fleet.addBackend('b-1', () =>
    isOverloaded
      ? { status: 503, notRun: true, fields: { 'retry-after': String(pauseMs / 1000) } }
      : { status: 200 },
  );
  await delay(settleMs);
  const startedAtMs = performance.now();
  t.is((await fleet.call('/orders/1')).status, 503);
  isOverloaded = false;

  const refused = await fleet.call('/reads/1');
  const answeredAfterMs = performance.now() - startedAtMs;
  t.is(refused.status, 503);
  t.true(answeredAfterMs < pauseMs / 2, `the call was held for ${answeredAfterMs} ms`);
  const retryAfterMs = Number(refused.retryAfter) * 1000;
  t.true(retryAfterMs >= pauseMs - answeredAfterMs - 1, `Retry-After: ${refused.retryAfter}`);
  t.is(pausing.requests.length, 1);

  await fleet.addBackend('b-2', () => ({ status: 200 }));
  await delay(settleMs);
  t.deepEqual(new Set(await callNewObjects(20)), new Set([200]));
  t.is(pausing.requests.length, 1);

  await delay(pauseMs);
  await callNewObjects(20);
  t.true(pausing.requests.length > 1);
});
