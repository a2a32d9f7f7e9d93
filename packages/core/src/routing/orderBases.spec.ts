import test from 'ava';

import { neverChanged, OrderBases } from './orderBases.js';

/** Which base an order gets; one that arrived while the process stood still must not get a later one. */

const options = { maxGapMs: 400, settleMs: 1000 };
const before = new Map([['north-a', 1000]]);
const after = new Map([['north-a', 2000]]);

/** Bases of a process that observes every 100 ms until 1000 ms. */
function createBases(): OrderBases {
  const bases = new OrderBases(options, 0);
  for (let nowMs = 100; nowMs <= 1000; nowMs += 100) bases.observe(before, nowMs);
  return bases;
}

test('an order is based on the last change that the host knows', (t) => {
  const bases = createBases();
  t.is(bases.baseOf('north-a', after, 1050), 2000);
  t.is(bases.baseOf('south-a', after, 1050), neverChanged);
});

test('an order that is read first after a pause is based on what was known before it', (t) => {
  t.is(createBases().baseOf('north-a', after, 5000), 1000);
});

test('an order that is read soon after a pause is based on what was known before it', (t) => {
  const bases = createBases();
  t.is(bases.observe(after, 5000), 4000);
  t.is(bases.observe(after, 5100), undefined);
  t.is(bases.baseOf('north-a', after, 5900), 1000);
});

test('an order that is read later is based on what is known then', (t) => {
  const bases = createBases();
  for (let nowMs = 5000; nowMs <= 6000; nowMs += 100) bases.observe(after, nowMs);
  t.is(bases.baseOf('north-a', after, 6050), 2000);
});

test('of two pauses in a row, what was known before the first one counts', (t) => {
  const bases = createBases();
  bases.observe(after, 5000);
  bases.observe(after, 5100);
  bases.observe(after, 9000);
  t.is(bases.baseOf('north-a', after, 9050), 1000);
});

// Guards against an order that lay unread while the machine was suspended, which its clock does not count.
test('an order that is read soon after a break of the clock is based on what was known before it', (t) => {
  const bases = createBases();
  bases.noteBreak(1020);
  t.is(bases.baseOf('north-a', after, 1020), 1000);
  bases.observe(after, 1100);
  t.is(bases.baseOf('north-a', after, 1900), 1000);
  for (let nowMs = 1200; nowMs <= 2100; nowMs += 100) bases.observe(after, nowMs);
  t.is(bases.baseOf('north-a', after, 2150), 2000);
});
