import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { startRoutedFleet, type RoutedFleet } from './routedFleet.js';

/** Guards against one garbled load report that takes all backend servers of a service out of use. */

const settleMs = 500;
const pauseMs = 30;
const callCount = 40;
const usualLoad = '0,0,2';

/** Each row: what is odd in the report, the report. */
const oddLoads: readonly (readonly [string, string])[] = [
  ['7 digits', `${'9'.repeat(7)},0,2`],
  ['306 digits', `0,${'9'.repeat(306)},2`],
  ['an exponent', '1e300,0,2'],
  ['hexadecimal digits', '0,0x7fffffff,2'],
];

let fleet: RoutedFleet;

test.beforeEach(async () => {
  fleet = await startRoutedFleet();
});

test.afterEach.always(() => fleet.stop());

/** Starts three backend servers that report the usual load; one of them reports an odd load once. */
async function reportOnce(oddLoad: string): Promise<void> {
  let isOdd = false;
  const answer = () => {
    const reported = isOdd ? oddLoad : usualLoad;
    isOdd = false;
    return { status: 200, fields: { 'x-load': reported } };
  };
  for (const backendId of ['b-1', 'b-2', 'b-3']) await fleet.addBackend(backendId, answer);
  await delay(settleMs);
  await fleet.call('/reads/1');
  isOdd = true;
  await fleet.call('/reads/1');
}

/** Sends calls about new objects, which are spread over all backend servers in use. */
async function countServed(): Promise<number> {
  let served = 0;
  for (let call = 0; call < callCount; call += 1) {
    const { status } = await fleet.call('/reads/1', { 'x-object-key': `object-${call}` });
    served += Number(status === 200);
    await delay(pauseMs);
  }
  return served;
}

for (const [what, load] of oddLoads) {
  test.serial(`a load report with ${what} takes no backend server out of use`, async (t) => {
    await reportOnce(load);
    t.is(await countServed(), callCount);
  });
}
