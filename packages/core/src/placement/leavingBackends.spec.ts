import test from 'ava';

import { LeavingBackends } from './leavingBackends.js';

test('an announced departure holds for the incarnation that announced it and for earlier ones', (t) => {
  const leaving = new LeavingBackends();
  t.false(leaving.isLeaving({ backendId: 'b-1', bornAtMs: 5 }));
  t.true(leaving.record({ backendId: 'b-1', bornAtMs: 5 }));
  t.false(leaving.record({ backendId: 'b-1', bornAtMs: 5 }));
  t.true(leaving.isLeaving({ backendId: 'b-1', bornAtMs: 5 }));
  t.true(leaving.isLeaving({ backendId: 'b-1', bornAtMs: 4 }));
  t.false(leaving.isLeaving({ backendId: 'b-1', bornAtMs: 6 }));
  t.false(leaving.isLeaving({ backendId: 'b-2', bornAtMs: 5 }));
});

test('the announcement of an earlier incarnation does not replace that of a later one', (t) => {
  const leaving = new LeavingBackends();
  leaving.record({ backendId: 'b-1', bornAtMs: 6 });
  t.false(leaving.record({ backendId: 'b-1', bornAtMs: 5 }));
  t.true(leaving.isLeaving({ backendId: 'b-1', bornAtMs: 6 }));
});

test('the number of remembered incarnations is bounded', (t) => {
  const leaving = new LeavingBackends();
  for (let index = 0; index <= 4096; index += 1) {
    leaving.record({ backendId: `b-${index}`, bornAtMs: 1 });
  }
  t.false(leaving.isLeaving({ backendId: 'b-0', bornAtMs: 1 }));
  t.true(leaving.isLeaving({ backendId: 'b-1', bornAtMs: 1 }));
});
