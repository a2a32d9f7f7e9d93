import test from 'ava';

import { LookPace } from './queueScanPacer.js';

/** Looks and their total time in a second in which something asks for a look each millisecond. */
function looksInASecond(lookMs: number): { looks: number; totalMs: number } {
  const pace = new LookPace();
  let looks = 0;
  for (let nowMs = 0; nowMs < 1000; nowMs += 1) {
    if (pace.pauseMs(nowMs) > 0) continue;
    looks += 1;
    pace.note(nowMs, nowMs + lookMs);
  }
  return { looks, totalMs: looks * lookMs };
}

test('looks that take milliseconds stay within a tenth of the time', (t) => {
  for (const lookMs of [1, 4, 20]) {
    const { looks, totalMs } = looksInASecond(lookMs);
    t.true(totalMs <= 100 + lookMs, `${looks} looks of ${lookMs} ms`);
    t.true(looks >= 5, `${looks} looks of ${lookMs} ms`);
  }
});

test('looks that take next to nothing come whenever something asks for them', (t) => {
  t.is(looksInASecond(0.05).looks, 1000);
});
