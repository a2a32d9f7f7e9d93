import test from 'ava';

import { RegionSpillover } from './regionSpillover.js';

const callsPerWindow = 100;
const maxShift = 0.15;

test('the share of spilled calls grows by less than the cap from window to window', (t) => {
  const spill = new RegionSpillover(maxShift, 0);
  let before = 0;
  for (let window = 0; window < 6; window += 1) {
    let spilled = 0;
    for (let call = 0; call < callsPerWindow; call += 1) {
      const nowMs = window * 2000 + call * 20;
      const maySpill = spill.maySpill(nowMs);
      spill.record(maySpill, nowMs);
      if (maySpill) spilled += 1;
    }
    const share = spilled / callsPerWindow;
    t.true(share - before <= maxShift);
    t.true(share > before);
    before = share;
  }
});

test('after a long time without calls the share starts from zero', (t) => {
  const spill = new RegionSpillover(maxShift, 0);
  for (let call = 0; call < callsPerWindow; call += 1) spill.record(true, 100);
  let spilled = 0;
  for (let call = 0; call < callsPerWindow; call += 1) {
    const maySpill = spill.maySpill(60_000 + call);
    spill.record(maySpill, 60_000 + call);
    spilled += Number(maySpill);
  }
  t.true(spilled / callsPerWindow <= maxShift);
});
