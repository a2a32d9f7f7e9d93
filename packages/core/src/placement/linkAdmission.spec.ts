import test from 'ava';

import { LinkAdmission } from './linkAdmission.js';

const linkBytesPerMs = 250;
const leastUrgentRank = 2;

/** Calls of a kind: how many come a second, and the bytes that each one puts on the link. */
interface Kind {
  readonly rank: number;
  readonly callsPerS: number;
  readonly bytes: number;
}

const kinds: readonly Kind[] = [
  { rank: 0, callsPerS: 12, bytes: 10_000 },
  { rank: 1, callsPerS: 42, bytes: 2600 },
  { rank: 2, callsPerS: 14, bytes: 5400 },
];

interface Replay {
  /** Longest time that a byte waited once the link had been full for three seconds. */
  readonly longestWaitMs: number;
  /** Admitted share of the calls of each rank. */
  readonly admittedShares: readonly number[];
}

/** Plays a load, as a multiple of the kinds, on a link for some seconds. */
function replay(load: number, seconds: number, isAdmitted: boolean): Replay {
  const admission = new LinkAdmission();
  let queuedBytes = 0;
  let longestWaitMs = 0;
  const offered = [0, 0, 0];
  const admitted = [0, 0, 0];
  const due = kinds.map(() => 0);
  let draw = 0;
  for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 1) {
    queuedBytes = Math.max(0, queuedBytes - linkBytesPerMs);
    const waitMs = queuedBytes / linkBytesPerMs;
    if (nowMs > 3000) longestWaitMs = Math.max(longestWaitMs, waitMs);
    if (nowMs % 25 === 0) admission.recordConnect('zone', 2 + waitMs, nowMs);
    for (const [index, { rank, callsPerS, bytes }] of kinds.entries()) {
      due[index] = (due[index] ?? 0) + (load * callsPerS) / 1000;
      while ((due[index] ?? 0) >= 1) {
        due[index] = (due[index] ?? 0) - 1;
        offered[rank] = (offered[rank] ?? 0) + 1;
        // A sequence that spreads evenly over [0, 1), so that the replay needs no random numbers.
        draw = (draw + 0.618034) % 1;
        const refusedShare = admission.refusedShareOf(rank, leastUrgentRank, nowMs);
        if (isAdmitted && draw < refusedShare) continue;
        admitted[rank] = (admitted[rank] ?? 0) + 1;
        queuedBytes += bytes;
      }
    }
  }
  return {
    longestWaitMs,
    admittedShares: offered.map((calls, rank) => (admitted[rank] ?? 0) / calls),
  };
}

test('a load of 1.3 times the link queues for over two seconds without admission, and not with it', (t) => {
  const load = 1.3 / 1.2;
  t.true(replay(load, 12, false).longestWaitMs > 2000);
  const { longestWaitMs, admittedShares } = replay(load, 12, true);
  t.true(longestWaitMs < 700, `${longestWaitMs} ms`);
  const [urgent = 0, middle = 0, least = 0] = admittedShares;
  t.true(urgent > 0.97, `${urgent}`);
  t.true(middle >= least, `${middle} ${least}`);
  t.true(least >= 0.25, `${least}`);
});

test('a load within the link refuses no call', (t) => {
  t.deepEqual(replay(0.7, 12, true).admittedShares, [1, 1, 1]);
});

test('slow connections to a few backend servers refuse no call', (t) => {
  const admission = new LinkAdmission();
  for (let index = 0; index < 60; index += 1) {
    admission.recordConnect('zone', index % 3 === 0 ? 900 : 2, index * 25);
  }
  t.is(admission.refusedShareOf(2, 2, 1500), 0);
});

test('a host that opens no connections any more refuses less and less', (t) => {
  const admission = new LinkAdmission();
  for (let atMs = 0; atMs < 3000; atMs += 25) {
    admission.recordConnect('zone', atMs < 100 ? 2 : 1000, atMs);
    admission.refusedShareOf(2, 2, atMs);
  }
  t.true(admission.refusedShareOf(2, 2, 3000) > 0.5);
  for (let atMs = 3000; atMs < 20_000; atMs += 100) admission.refusedShareOf(2, 2, atMs);
  t.is(admission.refusedShareOf(2, 2, 20_000), 0);
});

test('connections that a pause of the process made late refuse few calls, and only at once', (t) => {
  const admission = new LinkAdmission();
  for (let atMs = 0; atMs < 1000; atMs += 25) {
    admission.recordConnect('zone', 2, atMs);
    admission.refusedShareOf(2, 2, atMs);
  }
  for (let index = 0; index < 9; index += 1) admission.recordConnect('zone', 4000, 5000);
  t.true(admission.refusedShareOf(2, 2, 5000) < 0.31);
  t.is(admission.refusedShareOf(1, 2, 5000), 0);
  for (let index = 0; index < 9; index += 1) admission.recordConnect('zone', 2, 5100);
  t.is(admission.refusedShareOf(2, 2, 5100), 0);
});
