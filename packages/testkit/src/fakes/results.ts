import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result } from 'neverthrow';

/**
 * Takes the value out of a result that must be one; throws otherwise.
 *
 * @param result - result of a test step
 */
export function valueOf<Value>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw new Error(`${result.error.code} ${result.error.detail}`);
  return result.value;
}

/**
 * Takes the failure out of a result that must be one; throws otherwise.
 *
 * @param result - result of a test step
 */
export function failureOf(result: Result<unknown, Failure>): Failure {
  if (result.isOk()) throw new Error('a failure was expected');
  return result.error;
}
