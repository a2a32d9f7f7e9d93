import test from 'ava';

import { sampleBackend } from './sampleBackend.js';

test('a call counts from its start to its end', (t) => {
  const placed = sampleBackend();
  placed.start(1000);
  placed.start(1100);
  t.is(placed.load(1200, 0), 2);
  t.is(placed.oldestInFlightMs(1200), 200);
  placed.end(1000);
  t.is(placed.oldestInFlightMs(1200), 100);
  placed.end(1100);
  t.is(placed.load(1200, 0), 0);
  t.is(placed.oldestInFlightMs(5000), 0);
});

test('a reported load counts the calls of other hosts, and less with its age', (t) => {
  const placed = sampleBackend();
  placed.start(1000);
  placed.noteLoad({ running: 3, waiting: 1, slots: 4 }, 1000);
  t.is(placed.load(1000, 0), 4);
  t.is(placed.load(1300, 0), 2.5);
});

test('a backend server that reported long ago counts as loaded as its place', (t) => {
  t.is(sampleBackend('far').load(0, 0.5), 2);
  t.is(sampleBackend('zone').load(0, 0), 0);
  const placed = sampleBackend();
  placed.noteLoad({ running: 0, waiting: 0, slots: 4 }, 1000);
  t.is(placed.load(1000, 1.5), 0);
  t.is(placed.load(1300, 1.5), 3);
});

test('what speaks against a backend server is forgotten with time', (t) => {
  const placed = sampleBackend();
  for (let call = 0; call < 20; call += 1) placed.noteEnd({ isFailure: true, slowness: 5 }, 1000);
  t.true(placed.failureShareNow(1000) > 0.9);
  t.true(placed.slownessNow(1000) > 4);
  t.true(placed.failureShareNow(31_000) < 0.01);
  t.true(placed.slownessNow(31_000) < 1.01);
});

test('one that cannot be reached is paused for longer each time, until it answers', (t) => {
  const placed = sampleBackend();
  placed.pause(0);
  t.true(placed.isPaused(499));
  t.false(placed.isPaused(500));
  placed.pause(500);
  t.true(placed.isPaused(1499));
  placed.noteEnd({ isFailure: false }, 1500);
  placed.pause(1500);
  t.false(placed.isPaused(2000));
});
