import test from 'ava';

import {
  executionStatusOfCode,
  failure,
  provenExecutionStatus,
  withEarlierCallsUnknown,
} from './failure.js';
import { resultCodes } from './resultCodes.js';

test('a code without an execution status proves nothing about the execution', (t) => {
  t.is(executionStatusOfCode('BL1001'), 'unknown');
  t.is(executionStatusOfCode('BL3002'), 'notRun');
});

test('a refusal issued before the ledger was asked does not rule out that an earlier call ran', (t) => {
  t.is(provenExecutionStatus(failure('BL3002', 'the pool is full')), 'notRun');
  t.is(
    provenExecutionStatus(withEarlierCallsUnknown(failure('BL3002', 'the pool is full'))),
    'unknown',
  );
  t.is(
    provenExecutionStatus(withEarlierCallsUnknown(failure('BL9003', 'the answer was not kept'))),
    'ran',
  );
});

test('every code is BL and a number from 1000 to 9999, and has a meaning and an action', (t) => {
  for (const [code, row] of Object.entries(resultCodes)) {
    t.regex(code, /^BL[1-9]\d{3}$/);
    t.true(row.meaning.length > 0);
    t.true(row.action.length > 0);
  }
});
