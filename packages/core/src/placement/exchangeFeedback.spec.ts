import test from 'ava';

import { AnswerTimeEstimates } from './answerTimeEstimates.js';
import { recordExchange, type ExchangeOutcome } from './exchangeFeedback.js';
import { sampleBackend } from './sampleBackend.js';

const call = { routeId: 'reads', targetMs: 1000 };
const nowMs = 5000;

/** What is known after some exchanges of one kind, with the time that was expected at first. */
function afterExchanges(outcome: ExchangeOutcome, count: number, load = 0) {
  const backend = sampleBackend();
  const times = new AnswerTimeEstimates();
  const firstMs = times.expectedMs(call.routeId, call.targetMs, false);
  const place = { backend, isWarm: false, expectedMs: firstMs, load, waitMs: 0, costMs: firstMs };
  for (let index = 0; index < count; index += 1) {
    recordExchange(times, call, place, outcome, nowMs);
  }
  return { backend, firstMs, expectedMs: times.expectedMs(call.routeId, call.targetMs, false) };
}

test('calls broken off at their time limit make longer answers expected', (t) => {
  const { firstMs, expectedMs } = afterExchanges({ end: 'timedOut', elapsedMs: 2500 }, 20);
  t.true(expectedMs > 2 * firstMs);
});

test('a backend server that lets calls time out counts as failing and as slow', (t) => {
  const { backend } = afterExchanges({ end: 'timedOut', elapsedMs: 2500 }, 5);
  t.true(backend.failureShareAt(nowMs) > 0.5);
  t.true(backend.slownessAt(nowMs) > 1.5);
});

test('a call that may have queued says nothing of the time of the work', (t) => {
  const { backend, firstMs, expectedMs } = afterExchanges(
    { end: 'answered', elapsedMs: 2500 },
    20,
    4,
  );
  t.is(expectedMs, firstMs);
  t.is(backend.slownessAt(nowMs), 1);
});

test('a refusal that is no failure counts against nobody', (t) => {
  const { backend, firstMs, expectedMs } = afterExchanges({ end: 'notRun', elapsedMs: 5 }, 20);
  t.is(expectedMs, firstMs);
  t.is(backend.failureShareAt(nowMs), 0);
});
