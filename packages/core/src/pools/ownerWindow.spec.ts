import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';

import { OwnerWindow, type OwnerWork } from './ownerWindow.js';

const owner = 'host-1';
const refusal = failure('BL3002', 'targetMissed', { retryAfterMs: 300 });
const order: OwnerWork = { service: 'shop', kind: 'order', arrivedAtMs: 1000, targetAtMs: 1250 };
const refusedAtMs = 1010;

/** A window with calls under way, the first of which the owner refused. */
function afterRefusal(callsUnderWay: number): OwnerWindow {
  const window = new OwnerWindow();
  for (let call = 0; call < callsUnderWay; call += 1) window.enter(order, owner, order.arrivedAtMs);
  window.noteRefused(order, owner, refusal, refusedAtMs);
  return window;
}

/** Calls that may go until one is refused. */
function roomOf(window: OwnerWindow, work: OwnerWork, ownerHostId: string, nowMs: number): number {
  const manyCalls = 100;
  for (let calls = 0; calls < manyCalls; calls += 1) {
    if (window.enter(work, ownerHostId, nowMs) !== undefined) return calls;
  }
  return manyCalls;
}

test('without a refusal calls are not limited', (t) => {
  t.is(roomOf(new OwnerWindow(), order, owner, 0), 100);
});

const limits: readonly {
  readonly title: string;
  readonly work?: OwnerWork;
  readonly ownerHostId?: string;
  readonly afterMs: number;
  readonly room: number;
}[] = [
  { title: 'at once', afterMs: 0, room: 0 },
  { title: 'as long as refusals count', afterMs: 1999, room: 0 },
  { title: 'when refusals no longer count', afterMs: 2000, room: 100 },
  { title: 'of another kind', work: { ...order, kind: 'report' }, afterMs: 0, room: 100 },
  { title: 'of another service', work: { ...order, service: 'depot' }, afterMs: 0, room: 100 },
  { title: 'to another owner', ownerHostId: 'host-2', afterMs: 0, room: 100 },
];

for (const { title, work = order, ownerHostId = owner, afterMs, room } of limits) {
  test(`after a refusal with ten calls under way ${room} more calls may go ${title}`, (t) => {
    const window = afterRefusal(10);
    t.is(roomOf(window, work, ownerHostId, refusedAtMs + afterMs), room);
  });
}

test('the owner’s refusal is told to calls that do not go', (t) => {
  t.is(afterRefusal(10).enter(order, owner, refusedAtMs), refusal);
});

test('calls that end make room up to the window', (t) => {
  const window = afterRefusal(10);
  for (let call = 0; call < 10; call += 1) window.exit(order);
  t.is(roomOf(window, order, owner, refusedAtMs), 7);
});

test('refusals of one moment reduce the window once, later ones again', (t) => {
  const window = afterRefusal(10);
  for (let call = 0; call < 20; call += 1) {
    window.noteRefused(order, owner, refusal, refusedAtMs + 49);
  }
  window.noteRefused(order, owner, refusal, refusedAtMs + 50);
  for (let call = 0; call < 10; call += 1) window.exit(order);
  t.is(roomOf(window, order, owner, refusedAtMs + 50), 4);
});

test('a window never closes, and each answer widens it', (t) => {
  const window = afterRefusal(1);
  window.exit(order);
  t.is(roomOf(window, order, owner, refusedAtMs), 1);
  window.noteAnswered(order);
  t.is(roomOf(window, order, owner, refusedAtMs), 1, 'one more than the one under way');
  for (let answers = 0; answers < 3; answers += 1) window.noteAnswered(order);
  t.is(roomOf(window, order, owner, refusedAtMs), 2, 'one call more for each round of answers');
});
