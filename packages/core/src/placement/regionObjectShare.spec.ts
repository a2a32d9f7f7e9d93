import test from 'ava';

import { RegionObjectShare, type ObjectShareInputs } from './regionObjectShare.js';

const balanced: ObjectShareInputs = {
  regionSlots: 24,
  totalSlots: 72,
  regions: 3,
  regionLoadPerSlot: 0.5,
  otherLoadPerSlot: 0.5,
  regionObjectCapacity: 200,
  activeObjects: 88,
};
const maxShift = 0.15;

/** Share after each second, while the load of the region follows its share. */
function sharesOver(
  share: RegionObjectShare,
  inputs: ObjectShareInputs,
  busySlots: number,
  seconds: number,
) {
  const shares: number[] = [];
  for (let second = 1; second <= seconds; second += 1) {
    const regionLoadPerSlot = (share.value * busySlots) / inputs.regionSlots;
    share.update({ ...inputs, regionLoadPerSlot }, 1000 * second);
    shares.push(share.value);
  }
  return shares;
}

test('a region with its fair part of the slots keeps all of its objects', (t) => {
  t.is(sharesOver(new RegionObjectShare(maxShift), balanced, 10, 10).at(-1), 1);
});

test('a region with few slots starts with few objects, then uses most but not all of its slots', (t) => {
  const few = { ...balanced, regionSlots: 6, regionObjectCapacity: 50 };
  const busySlots = 9;
  const shares = sharesOver(new RegionObjectShare(maxShift), few, busySlots, 30);
  const usedPart = ((shares.at(-1) ?? 1) * busySlots) / few.regionSlots;
  t.true((shares[0] ?? 1) < 0.4);
  t.true(usedPart > 0.5 && usedPart < 0.8);
});

test('a region keeps its objects while the other regions are busier', (t) => {
  const flooded = { ...balanced, otherLoadPerSlot: 1.5 };
  t.is(sharesOver(new RegionObjectShare(maxShift), flooded, 30, 20).at(-1), 1);
});

test('without other regions a region keeps all of its objects', (t) => {
  const share = new RegionObjectShare(maxShift);
  sharesOver(share, balanced, 60, 10);
  t.true(share.value < 1);
  share.update({ ...balanced, regionSlots: balanced.totalSlots }, 60_000);
  t.is(share.value, 1);
});

test('the share changes by less than the cap within its window', (t) => {
  const share = new RegionObjectShare(maxShift);
  sharesOver(share, balanced, 10, 5);
  let before = share.value;
  for (let second = 6; second < 20; second += 2) {
    share.update({ ...balanced, regionLoadPerSlot: 4, regionObjectCapacity: 20 }, 1000 * second);
    t.true(Math.abs(share.value - before) <= maxShift);
    before = share.value;
  }
});
