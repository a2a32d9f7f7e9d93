import test from 'ava';

import { HomeShare, type HomeLoad } from './homeShare.js';

const load: HomeLoad = {
  nearSlots: 24,
  allSlots: 72,
  regions: 3,
  nearObjects: 200,
  seenObjects: 88,
  callMs: 80,
  entryHosts: 4,
};
const maxShift = 0.15;

/** Runs some seconds of a load and gives the share after each. */
function sharesOver(share: HomeShare, given: HomeLoad, callsPerS: number, seconds: number) {
  const shares: number[] = [];
  for (let second = 0; second < seconds; second += 1) {
    for (let call = 0; call < callsPerS; call += 1) share.noteCall();
    share.update(given, 1000 * (second + 1));
    shares.push(share.value);
  }
  return shares;
}

test('a region with its part of the slots keeps its objects', (t) => {
  t.is(sharesOver(new HomeShare(maxShift), load, 25, 10).at(-1), 1);
});

test('a region with few slots starts with few objects and goes on to use its slots, not all of them', (t) => {
  const few = { ...load, nearSlots: 6, nearObjects: 50 };
  const callsPerS = 29;
  const shares = sharesOver(new HomeShare(maxShift), few, callsPerS, 30);
  const busySlots = (callsPerS * few.entryHosts * few.callMs) / 1000;
  const usedPart = ((shares.at(-1) ?? 1) * busySlots) / few.nearSlots;
  t.true((shares[0] ?? 1) < 0.4);
  t.true(usedPart > 0.5 && usedPart < 0.8);
});

test('the share changes by less than the cap within its window', (t) => {
  const share = new HomeShare(maxShift);
  sharesOver(share, load, 25, 5);
  const lost = { ...load, nearSlots: 3, nearObjects: 20 };
  let before = share.value;
  for (let second = 6; second < 20; second += 2) {
    for (let call = 0; call < 50; call += 1) share.noteCall();
    share.update(lost, 1000 * second);
    t.true(Math.abs(share.value - before) <= maxShift);
    before = share.value;
  }
});
