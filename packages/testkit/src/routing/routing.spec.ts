import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { timeUntil } from '../time/timeUntil.js';
import { routedDocument, startRoutedFleet, type RoutedFleet } from './routedFleet.js';

/** Time in which a change must be in force on the entry host; the platform allows 2.5 s. */
const inForceMs = 2500;

let fleet: RoutedFleet;

test.before(async () => {
  fleet = await startRoutedFleet();
});

test.after.always(() => fleet.stop());

test.serial('a call without backend servers is refused as not run', async (t) => {
  t.is((await fleet.call('/reads/1')).status, 503);
});

test.serial(
  'a call goes to a registered backend server and names the one that may run it',
  async (t) => {
    const backend = await fleet.addBackend('b-1', () => ({ status: 200 }));
    await delay(inForceMs / 5);
    t.deepEqual(await fleet.call('/reads/1', { 'x-object-key': '7' }), {
      status: 200,
      body: 'b-1',
    });
    t.is(backend.requests[0]?.['x-expected-backend'], 'b-1');
    t.true(Number(backend.requests[0]?.['x-buckthornlug-time-left-ms']) <= 2000);
  },
);

// Guards against a backend server that cannot read how much time is left, and runs the call without a limit.
test.serial('a time left of any number of digits is passed on as a time', async (t) => {
  const backend = await fleet.addBackend('b-1', () => ({ status: 200 }));
  await delay(inForceMs / 5);
  for (const timeLeft of ['9'.repeat(20), '9'.repeat(306), '1e21']) {
    const fields = { 'x-object-key': '7', 'x-buckthornlug-time-left-ms': timeLeft };
    t.is((await fleet.call('/reads/1', fields)).status, 200);
    t.regex(String(backend.requests.at(-1)?.['x-buckthornlug-time-left-ms']), /^\d{1,10}$/);
  }
});

test.serial('calls one after the other do not make a backend server look busy', async (t) => {
  for (let call = 0; call < 40; call += 1) {
    const answer = await fleet.call('/reads/1', { 'x-object-key': '7' });
    t.is(answer.status, 200);
    await delay(call < 3 ? 700 : 1);
  }
});

test.serial(
  'a call that was not run is sent to another backend server, a single one too',
  async (t) => {
    const shedding = await fleet.addBackend('b-2', () => ({ status: 503, notRun: true }));
    await delay(inForceMs / 5);
    for (let key = 0; key < 40; key += 1) {
      const answer = await fleet.call('/orders/1', { 'x-object-key': String(key) });
      t.deepEqual(answer, { status: 200, body: 'b-1' });
    }
    t.true(shedding.requests.length > 0);
  },
);

test.serial(
  'a backend server that drains gets no call 2.5 s after its acknowledgement',
  async (t) => {
    const draining = await fleet.addBackend('b-3', () => ({ status: 200 }));
    const report = { ...draining.report, sequence: 2, state: 'draining' as const };
    (await fleet.control.parts.reportBackend(report))._unsafeUnwrap();
    await delay(inForceMs);
    const before = draining.requests.length;
    for (let key = 0; key < 20; key += 1)
      await fleet.call('/reads/1', { 'x-object-key': `d${key}` });
    t.is(draining.requests.length, before);
  },
);

test.serial('an evacuated zone gets no calls until it is taken back', async (t) => {
  const commands = fleet.control.parts.routingCommands;
  (await commands?.setEvacuation('north-a', true))?._unsafeUnwrap();
  await delay(inForceMs);
  t.is((await fleet.call('/reads/1')).status, 503);
  (await commands?.setEvacuation('north-a', false))?._unsafeUnwrap();
  await delay(inForceMs);
  t.is((await fleet.call('/reads/1', { 'x-object-key': '7' })).status, 200);
});

test.serial('a newer document is in force, an older one changes nothing', async (t) => {
  const commands = fleet.control.parts.routingCommands;
  const [reads] = routedDocument(5).routes;
  const onlyReads = { ...routedDocument(5), routes: reads === undefined ? [] : [reads] };
  (await commands?.replace(onlyReads))?._unsafeUnwrap();
  await delay(inForceMs);
  t.is((await fleet.call('/orders/1')).status, 404);
  (await commands?.replace(routedDocument(3)))?._unsafeUnwrap();
  t.is((await commands?.read())?._unsafeUnwrap().source, 'version 5');
});

test.serial('the entry host is ready until it stops', async (t) => {
  t.true(fleet.entry.parts.isReady());
  const stopped = fleet.entry.stop();
  t.true((await timeUntil(() => !fleet.entry.parts.isReady())) < 1000);
  await stopped;
});
