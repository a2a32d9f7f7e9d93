import test from 'ava';

import { SnapshotPolicy } from './snapshotPolicy.js';

const mebibyte = 1024 * 1024;

const cases = [
  { what: 'a small state, few entries', state: 1000, entries: 255, bytes: 10, ms: 0.1, due: false },
  { what: 'a small state, many entries', state: 1000, entries: 256, bytes: 10, ms: 0.1, due: true },
  { what: 'a small state, a long log', state: 1000, entries: 2, bytes: 40_000, ms: 0.1, due: true },
  {
    what: 'a large state, many quick entries',
    state: 7 * mebibyte,
    entries: 4000,
    bytes: 1000,
    ms: 0.1,
    due: false,
  },
  {
    what: 'a large state, a long replay',
    state: 7 * mebibyte,
    entries: 125,
    bytes: 1000,
    ms: 4,
    due: true,
  },
  {
    what: 'a large state, few slow entries',
    state: 7 * mebibyte,
    entries: 31,
    bytes: 1000,
    ms: 40,
    due: false,
  },
  {
    what: 'a large state, a log of its size',
    state: 7 * mebibyte,
    entries: 7,
    bytes: mebibyte,
    ms: 4,
    due: true,
  },
];

for (const { what, state, entries, bytes, ms, due } of cases) {
  test(`a snapshot is ${due ? '' : 'not '}due: ${what}`, (t) => {
    const policy = new SnapshotPolicy();
    policy.recordSnapshotSize(state);
    for (let count = 0; count < entries; count += 1) policy.recordApplied(bytes, ms);
    t.is(policy.isDue(), due);
    policy.recordCaptured();
    t.false(policy.isDue());
  });
}
