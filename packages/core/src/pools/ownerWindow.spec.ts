import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';

import { OwnerWindow, type OwnerCall } from './ownerWindow.js';

const owner = 'host-1';
const refusal = failure('BL3002', 'targetMissed', { retryAfterMs: 300 });
const order: OwnerCall = { service: 'shop', kind: 'order', arrivedAtMs: 1000, targetAtMs: 1250 };
const refusedAtMs = 1010;

/** A window with calls in flight, after the owner refused the first of them. */
function afterRefusal(callsInFlight: number): OwnerWindow {
  const window = new OwnerWindow();
  for (let call = 0; call < callsInFlight; call += 1) window.admit(order, owner, order.arrivedAtMs);
  window.recordRefusal(order, owner, refusal, refusedAtMs);
  return window;
}

/** Number of calls admitted before one is refused. */
function countAdmitted(
  window: OwnerWindow,
  call: OwnerCall,
  ownerHostId: string,
  nowMs: number,
): number {
  const manyCalls = 100;
  for (let calls = 0; calls < manyCalls; calls += 1) {
    if (window.admit(call, ownerHostId, nowMs) !== undefined) return calls;
  }
  return manyCalls;
}

test('without a refusal calls are not limited', (t) => {
  t.is(countAdmitted(new OwnerWindow(), order, owner, 0), 100);
});

const limits: readonly {
  readonly title: string;
  readonly call?: OwnerCall;
  readonly ownerHostId?: string;
  readonly afterMs: number;
  readonly admitted: number;
}[] = [
  { title: 'immediately', afterMs: 0, admitted: 0 },
  { title: 'while the refusal is valid', afterMs: 1999, admitted: 0 },
  { title: 'after the refusal has expired', afterMs: 2000, admitted: 100 },
  { title: 'for another kind', call: { ...order, kind: 'report' }, afterMs: 0, admitted: 100 },
  { title: 'for another service', call: { ...order, service: 'depot' }, afterMs: 0, admitted: 100 },
  { title: 'for another owner', ownerHostId: 'host-2', afterMs: 0, admitted: 100 },
];

for (const { title, call = order, ownerHostId = owner, afterMs, admitted } of limits) {
  test(`after a refusal with ten calls in flight ${admitted} more are admitted ${title}`, (t) => {
    const window = afterRefusal(10);
    t.is(countAdmitted(window, call, ownerHostId, refusedAtMs + afterMs), admitted);
  });
}

test('a call that is not admitted gets the owner’s refusal', (t) => {
  t.is(afterRefusal(10).admit(order, owner, refusedAtMs), refusal);
});

test('finished calls make room for new ones up to the window', (t) => {
  const window = afterRefusal(10);
  for (let call = 0; call < 10; call += 1) window.release(order);
  t.is(countAdmitted(window, order, owner, refusedAtMs), 7);
});

test('a burst of refusals shrinks the window once, and a later refusal shrinks it again', (t) => {
  const window = afterRefusal(10);
  for (let call = 0; call < 20; call += 1) {
    window.recordRefusal(order, owner, refusal, refusedAtMs + 49);
  }
  window.recordRefusal(order, owner, refusal, refusedAtMs + 50);
  for (let call = 0; call < 10; call += 1) window.release(order);
  t.is(countAdmitted(window, order, owner, refusedAtMs + 50), 4);
});

test('a window always admits one call, and each answer widens it', (t) => {
  const window = afterRefusal(1);
  window.release(order);
  t.is(countAdmitted(window, order, owner, refusedAtMs), 1);
  window.recordAnswer(order);
  t.is(countAdmitted(window, order, owner, refusedAtMs), 1, 'one more than the call in flight');
  for (let answers = 0; answers < 3; answers += 1) window.recordAnswer(order);
  t.is(
    countAdmitted(window, order, owner, refusedAtMs),
    2,
    'one call more for each window of answers',
  );
});
