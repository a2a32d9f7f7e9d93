import test from 'ava';

import { QueueScanPacer } from './queueScanPacer.js';

/** Number and total time of the scans in one second, with one requested every millisecond. */
function scansInOneSecond(scanMs: number): { scans: number; totalMs: number } {
  const pacer = new QueueScanPacer();
  let scans = 0;
  for (let nowMs = 0; nowMs < 1000; nowMs += 1) {
    if (pacer.delayMs(nowMs) > 0) continue;
    scans += 1;
    pacer.recordScan(nowMs, nowMs + scanMs);
  }
  return { scans, totalMs: scans * scanMs };
}

test('scans that take milliseconds use at most a tenth of the time', (t) => {
  for (const scanMs of [1, 4, 20]) {
    const { scans, totalMs } = scansInOneSecond(scanMs);
    t.true(totalMs <= 100 + scanMs, `${scans} scans of ${scanMs} ms`);
    t.true(scans >= 5, `${scans} scans of ${scanMs} ms`);
  }
});

test('scans that take almost no time run whenever they are requested', (t) => {
  t.is(scansInOneSecond(0.05).scans, 1000);
});
