import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { startRoutedFleet, type RoutedFleet } from './routedFleet.js';

/** What was taken out of use stays so after the processes of the system have been restarted. */

const settleMs = 700;

let fleet: RoutedFleet;

test.beforeEach(async () => {
  fleet = await startRoutedFleet();
});

test.afterEach.always(() => fleet.stop());

async function callNewObjects(count: number, prefix: string): Promise<void> {
  for (let call = 0; call < count; call += 1) {
    await fleet.call('/reads/1', { 'x-object-key': `${prefix}-${call}` });
  }
}

test.serial(
  'a backend server that left is not used after a restart, nor by its late report',
  async (t) => {
    const left = await fleet.addBackend('b-1', () => ({ status: 200 }));
    const staying = await fleet.addBackend('b-2', () => ({ status: 200 }));
    await delay(settleMs);
    (await fleet.control.parts.removeBackend('b-1'))._unsafeUnwrap();

    await fleet.restart();
    const late = { ...left.report, sequence: 9 };
    (await fleet.control.parts.reportBackend(late))._unsafeUnwrap();
    await delay(settleMs);
    await callNewObjects(20, 'restarted');
    t.is(left.requests.length, 0);
    t.is(staying.requests.length, 20);
  },
);

test.serial('a zone that was evacuated stays so after a restart', async (t) => {
  const backend = await fleet.addBackend('b-1', () => ({ status: 200 }));
  const commands = fleet.control.parts.routingCommands;
  (await commands?.setEvacuation('north-a', true))?._unsafeUnwrap();
  await fleet.restart();
  await delay(settleMs);
  await callNewObjects(5, 'evacuated');
  t.is(backend.requests.length, 0);
});
