import test from 'ava';

import { ClockWatch, maxPartingMs } from './clockWatch.js';

const startWallMs = 1_700_000_000_000;

const cases = [
  { what: 'both run on', nowMs: 5000, wallMs: 5000, parted: false },
  { what: 'the wall clock is slewed by 0.1%', nowMs: 5000, wallMs: 5005, parted: false },
  { what: 'the machine was suspended for 3 s', nowMs: 1000, wallMs: 4000, parted: true },
  { what: 'the wall clock was set ahead by 2 s', nowMs: 100, wallMs: 2100, parted: true },
  { what: 'the wall clock was set back by 2 s', nowMs: 100, wallMs: -1900, parted: true },
];

for (const { what, nowMs, wallMs, parted } of cases) {
  test(`the clocks have ${parted ? '' : 'not '}parted when ${what}`, (t) => {
    const watch = new ClockWatch();
    t.false(watch.haveParted(10, startWallMs));
    watch.observe(10, startWallMs);
    t.is(watch.haveParted(10 + nowMs, startWallMs + wallMs), parted);
    watch.observe(10 + nowMs, startWallMs + wallMs);
    t.false(watch.haveParted(20 + nowMs, startWallMs + wallMs + 10));
  });
}

test('a slew that goes on for an hour is no break', (t) => {
  const watch = new ClockWatch();
  let wallMs = startWallMs;
  for (let nowMs = 0; nowMs < 3_600_000; nowMs += 100) {
    t.false(watch.haveParted(nowMs, wallMs));
    watch.observe(nowMs, wallMs);
    wallMs += 100.05;
  }
  t.true(wallMs - startWallMs - 3_600_000 > maxPartingMs);
});
