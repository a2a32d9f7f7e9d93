import test from 'ava';

import { AnswerTimeEstimates } from './answerTimeEstimates.js';
import { recordExchange, type ExchangeOutcome } from './exchangeFeedback.js';
import type { ScoredBackend } from './placementTypes.js';
import { sampleBackend } from './sampleBackend.js';
import type { TrackedBackend } from './trackedBackend.js';

const call = { routeId: 'reads', targetMs: 1000, objectKey: undefined };
const nowMs = 5000;

const objectCall = { ...call, objectKey: 'box-1' };

/** A backend server that is preferred for an object, which it has not run for this host yet. */
function preferredPlace(backend: TrackedBackend): ScoredBackend {
  return {
    backend,
    isWarm: true,
    hasRunObject: false,
    expectedMs: 300,
    choice: 'planned',
    homeShare: 1,
    load: 0,
    waitMs: 0,
    costMs: 300,
  };
}

/** State after a number of exchanges with the same outcome, and the time expected before them. */
function afterExchanges(outcome: ExchangeOutcome, count: number, load = 0) {
  const backend = sampleBackend();
  const times = new AnswerTimeEstimates();
  const firstMs = times.expectedMs(call.routeId, call.targetMs, false);
  const place = {
    backend,
    isWarm: false,
    hasRunObject: false,
    expectedMs: firstMs,
    choice: 'planned' as const,
    homeShare: 1,
    load,
    waitMs: 0,
    costMs: firstMs,
  };
  for (let index = 0; index < count; index += 1) {
    recordExchange(times, call, place, outcome, nowMs);
  }
  return { backend, firstMs, expectedMs: times.expectedMs(call.routeId, call.targetMs, false) };
}

test('calls aborted at their time limit raise the expected answer time', (t) => {
  const { firstMs, expectedMs } = afterExchanges({ end: 'timedOut', elapsedMs: 2500 }, 20);
  t.true(expectedMs > 2 * firstMs);
});

test('a backend server that lets calls time out counts as failing and as slow', (t) => {
  const { backend } = afterExchanges({ end: 'timedOut', elapsedMs: 2500 }, 5);
  t.true(backend.failureShareAt(nowMs) > 0.5);
  t.true(backend.slownessAt(nowMs) > 1.5);
});

test('a call that may have queued changes neither the expected answer time nor the slowness', (t) => {
  const { backend, firstMs, expectedMs } = afterExchanges(
    { end: 'answered', elapsedMs: 2500 },
    20,
    4,
  );
  t.is(expectedMs, firstMs);
  t.is(backend.slownessAt(nowMs), 1);
});

test('a refusal that is not a failure changes neither the expected answer time nor the failure share', (t) => {
  const { backend, firstMs, expectedMs } = afterExchanges({ end: 'notRun', elapsedMs: 5 }, 20);
  t.is(expectedMs, firstMs);
  t.is(backend.failureShareAt(nowMs), 0);
});

test('only an answer shows that a backend server has run an object', (t) => {
  const backend = sampleBackend();
  const times = new AnswerTimeEstimates();
  const place = preferredPlace(backend);
  recordExchange(times, objectCall, place, { end: 'timedOut', elapsedMs: 2500 }, nowMs);
  t.false(backend.warmObjects.has('box-1'));
  recordExchange(times, objectCall, place, { end: 'answered', elapsedMs: 900 }, nowMs);
  t.true(backend.warmObjects.has('box-1'));
});

test('a slow first run of an object raises the estimate of first runs, not that of later ones', (t) => {
  const times = new AnswerTimeEstimates();
  const warmMs = times.expectedMs('reads', 1000, true);
  for (let run = 0; run < 20; run += 1) times.record('reads', 1000, undefined, 2000);
  t.is(times.expectedMs('reads', 1000, true), warmMs);
  t.true(times.expectedMs('reads', 1000, false) > 1500);
  for (let run = 0; run < 20; run += 1) times.record('reads', 1000, undefined, 400);
  t.true(Math.abs(times.expectedMs('reads', 1000, true) - 400) < 100);
});

test('a first run that takes its usual time does not make a backend server look slow', (t) => {
  const backend = sampleBackend();
  const times = new AnswerTimeEstimates();
  for (let run = 0; run < 20; run += 1) times.record('reads', 1000, false, 1400);
  for (let run = 0; run < 20; run += 1) times.record('reads', 1000, true, 300);
  const place = preferredPlace(backend);
  recordExchange(times, objectCall, place, { end: 'answered', elapsedMs: 1400 }, nowMs);
  t.true(Math.abs(backend.slownessAt(nowMs) - 1) < 0.05);
});
