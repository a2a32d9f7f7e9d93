import test from 'ava';

import { ServiceTimes } from './serviceTimes.js';

const initialMs = 40;

function learn(samplesMs: readonly number[]): ServiceTimes {
  const times = new ServiceTimes(initialMs);
  for (const sampleMs of samplesMs) times.record('page', sampleMs);
  return times;
}

test('before any answer the expected time is the initial estimate', (t) => {
  const times = learn([]);
  t.is(times.meanMs('page'), initialMs);
  t.is(times.overallMeanMs, initialMs);
});

test('after twenty answers the initial estimate counts for at most a fifth', (t) => {
  const times = learn(Array.from({ length: 20 }, () => 20));
  const allowedMs = 20 + (initialMs - 20) / 5;
  t.true(times.meanMs('page') <= allowedMs, `${times.meanMs('page')} ms`);
  t.true(times.overallMeanMs <= allowedMs, `${times.overallMeanMs} ms`);
});

test('equal answers narrow an upper quantile towards their mean', (t) => {
  const times = learn(Array.from({ length: 60 }, () => 20));
  t.true(times.quantileMs('page', 2.3) <= 2 * 20, `${times.quantileMs('page', 2.3)} ms`);
});

test('one late answer changes a settled average by a fiftieth of its lateness', (t) => {
  const times = learn([...Array.from({ length: 500 }, () => 20), 520]);
  t.true(Math.abs(times.meanMs('page') - 30) < 0.1, `${times.meanMs('page')} ms`);
});

test('a first answer that is far too late counts as one of five samples', (t) => {
  const times = learn([540]);
  t.is(times.meanMs('page'), initialMs + 500 / 5);
});
