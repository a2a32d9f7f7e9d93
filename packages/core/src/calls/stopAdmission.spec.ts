import test from 'ava';

import { mayTakeCall } from './stopAdmission.js';

/** Guards against calls that a stopping host accepts and cuts, whatever the length of its grace period. */

const plan = { callersKnowAtMs: 2000, endsAtMs: 9000 };

const cases = [
  {
    what: 'single, ends before the host',
    mayRepeat: false,
    nowMs: 100,
    limitMs: 8000,
    taken: true,
  },
  { what: 'single, ends with the host', mayRepeat: false, nowMs: 1000, limitMs: 8000, taken: true },
  { what: 'single, could outlast it', mayRepeat: false, nowMs: 1001, limitMs: 8000, taken: false },
  { what: 'single, late and short', mayRepeat: false, nowMs: 8000, limitMs: 800, taken: true },
  { what: 'single, late and long', mayRepeat: false, nowMs: 8500, limitMs: 800, taken: false },
  { what: 'repeatable, early and long', mayRepeat: true, nowMs: 1999, limitMs: 8000, taken: true },
  { what: 'repeatable, later and long', mayRepeat: true, nowMs: 2000, limitMs: 8000, taken: false },
  { what: 'repeatable, late and short', mayRepeat: true, nowMs: 8000, limitMs: 800, taken: true },
];

for (const { what, mayRepeat, nowMs, limitMs, taken } of cases) {
  test(`a stopping host ${taken ? 'takes' : 'refuses'} a call: ${what}`, (t) => {
    t.is(mayTakeCall(plan, { mayRepeat, deadlineAtMs: nowMs + limitMs }, nowMs), taken);
  });
}

test('a host that is not stopping takes each call', (t) => {
  t.true(mayTakeCall(undefined, { mayRepeat: false, deadlineAtMs: Infinity }, 0));
});
