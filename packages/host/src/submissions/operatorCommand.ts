import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, type Result, type ResultAsync } from 'neverthrow';

import type { Clock } from '../runtime/hostTypes.js';

/** Commands of operators are retried during elections and restarts of hosts. */

const commandTimeoutMs = 10_000;
const attemptTimeoutMs = 2500;

/**
 * Retries an idempotent command until its outcome is known or 10 s have passed.
 *
 * @param attempt - one attempt within the given time limit
 * @param unknownOutcome - failure if an attempt may have been committed
 * @returns the outcome; BL5001 if the command was never proposed
 */
export async function retryUntilOutcomeKnown<Value>(
  clock: Pick<Clock, 'nowMs'>,
  attempt: (timeoutMs: number) => ResultAsync<Value, Failure>,
  unknownOutcome: Failure,
): Promise<Result<Value, Failure>> {
  const deadlineAtMs = clock.nowMs() + commandTimeoutMs;
  let mayBeCommitted = false;
  for (;;) {
    const remainingMs = deadlineAtMs - clock.nowMs();
    if (remainingMs <= 0) break;
    const answer = await attempt(Math.min(attemptTimeoutMs, remainingMs));
    if (answer.isOk()) return answer;
    if (answer.error.code === 'BL5002') mayBeCommitted = true;
    else if (answer.error.code !== 'BL5001') return answer;
  }
  return err(
    mayBeCommitted ? unknownOutcome : failure('BL5001', 'the control group has no leader'),
  );
}
