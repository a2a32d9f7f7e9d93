import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';
import test from 'ava';

import { repeatUntilReplicaRuns } from './changeReplicas.js';

/** Guards against a tool that gives up on a host which has just started. */

const notRunning = err(failure('BL5005', 'host "h1" runs no replica of "control"'));

/** A change whose attempts end as listed, the last one again and again. */
function changeEnding(...ends: readonly Result<string, Failure>[]) {
  let attempts = 0;
  const change = () => {
    const end = ends[Math.min(attempts, ends.length - 1)] ?? notRunning;
    attempts += 1;
    return Promise.resolve(end);
  };
  return { change, attempts: () => attempts };
}

test('a host that runs no replica yet is asked again until it does', async (t) => {
  const { change, attempts } = changeEnding(notRunning, notRunning, ok('added'));
  t.deepEqual(await repeatUntilReplicaRuns(change, 30_000), ok('added'));
  t.is(attempts(), 3);
});

test('a host that runs no replica in time is reported', async (t) => {
  const { change, attempts } = changeEnding(notRunning);
  t.deepEqual(await repeatUntilReplicaRuns(change, 300), notRunning);
  t.true(attempts() > 1);
});

test('another refusal is reported at once', async (t) => {
  const refused = err(failure('BL5011', 'too few voters'));
  const { change, attempts } = changeEnding(refused, ok('added'));
  t.deepEqual(await repeatUntilReplicaRuns(change, 30_000), refused);
  t.is(attempts(), 1);
});
