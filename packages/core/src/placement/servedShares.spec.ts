import test from 'ava';

import { RankShares } from './servedShares.js';

test('a rank that gets much less than the best one is below its floor until it has caught up', (t) => {
  const shares = new RankShares();
  for (let call = 0; call < 20; call += 1) {
    shares.noteOffered(0, 0);
    shares.noteServed(0, 0);
    shares.noteOffered(1, 0);
    if (call % 4 === 0) shares.noteServed(1, 0);
  }
  t.true(shares.isBelowFloor(1, 0));
  t.false(shares.isBelowFloor(0, 0));
  for (let call = 0; call < 10; call += 1) shares.noteServed(1, 0);
  t.false(shares.isBelowFloor(1, 0));
});

test('few calls say nothing of a rank', (t) => {
  const shares = new RankShares();
  shares.noteOffered(0, 0);
  shares.noteServed(0, 0);
  shares.noteOffered(2, 0);
  t.false(shares.isBelowFloor(2, 0));
});
