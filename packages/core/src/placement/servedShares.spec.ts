import test from 'ava';

import { ServedShares } from './servedShares.js';

test('a rank that gets much less than the best one is below its floor until it has caught up', (t) => {
  const shares = new ServedShares();
  for (let call = 0; call < 20; call += 1) {
    shares.recordOffered(0, 0);
    shares.recordServed(0, 0);
    shares.recordOffered(1, 0);
    if (call % 4 === 0) shares.recordServed(1, 0);
  }
  t.true(shares.isBelowFloor(1, 0));
  t.false(shares.isBelowFloor(0, 0));
  for (let call = 0; call < 10; call += 1) shares.recordServed(1, 0);
  t.false(shares.isBelowFloor(1, 0));
});

test('a rank with few calls is not below its floor', (t) => {
  const shares = new ServedShares();
  shares.recordOffered(0, 0);
  shares.recordServed(0, 0);
  shares.recordOffered(2, 0);
  t.false(shares.isBelowFloor(2, 0));
});
