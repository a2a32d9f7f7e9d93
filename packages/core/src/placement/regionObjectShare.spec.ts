import test from 'ava';

import { HomeShare, type HomeLoad } from './regionObjectShare.js';

const load: HomeLoad = {
  nearSlots: 24,
  allSlots: 72,
  regions: 3,
  nearLoad: 0.5,
  farLoad: 0.5,
  nearObjects: 200,
  seenObjects: 88,
};
const maxShift = 0.15;

/** Shares after each of some seconds in which the region's load follows its share. */
function sharesOver(share: HomeShare, given: HomeLoad, busySlots: number, seconds: number) {
  const shares: number[] = [];
  for (let second = 1; second <= seconds; second += 1) {
    const nearLoad = (share.value * busySlots) / given.nearSlots;
    share.update({ ...given, nearLoad }, 1000 * second);
    shares.push(share.value);
  }
  return shares;
}

test('a region with its part of the slots keeps its objects', (t) => {
  t.is(sharesOver(new HomeShare(maxShift), load, 10, 10).at(-1), 1);
});

test('a region with few slots starts with few objects and goes on to use its slots, not all of them', (t) => {
  const few = { ...load, nearSlots: 6, nearObjects: 50 };
  const busySlots = 9;
  const shares = sharesOver(new HomeShare(maxShift), few, busySlots, 30);
  const usedPart = ((shares.at(-1) ?? 1) * busySlots) / few.nearSlots;
  t.true((shares[0] ?? 1) < 0.4);
  t.true(usedPart > 0.5 && usedPart < 0.8);
});

test('a region keeps its objects while the others are busier than it', (t) => {
  const flooded = { ...load, farLoad: 1.5 };
  t.is(sharesOver(new HomeShare(maxShift), flooded, 30, 20).at(-1), 1);
});

test('without other regions every object stays', (t) => {
  const share = new HomeShare(maxShift);
  sharesOver(share, load, 60, 10);
  t.true(share.value < 1);
  share.update({ ...load, nearSlots: load.allSlots }, 60_000);
  t.is(share.value, 1);
});

test('the share changes by less than the cap within its window', (t) => {
  const share = new HomeShare(maxShift);
  sharesOver(share, load, 10, 5);
  let before = share.value;
  for (let second = 6; second < 20; second += 2) {
    share.update({ ...load, nearLoad: 4, nearObjects: 20 }, 1000 * second);
    t.true(Math.abs(share.value - before) <= maxShift);
    before = share.value;
  }
});
