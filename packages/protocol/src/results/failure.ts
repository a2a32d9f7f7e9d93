import { resultCodes, type ExecutionStatus, type ResultCode } from './resultCodes.js';

/** A fault found by validation: the path of a field and what is wrong with it. */
export interface Fault {
  /** Path of the field, such as `services/parts-desk/kinds/0/rank`. */
  readonly path: string;
  /** Human-readable description of the fault. */
  readonly problem: string;
}

/** An expected failure: a result code with the details of this case. */
export interface Failure {
  readonly code: ResultCode;
  /** Human-readable details of this case. */
  readonly detail: string;
  /** Faults found by validation. */
  readonly faults?: readonly Fault[];
  /** Recommended delay before a retry. */
  readonly retryAfterMs?: number;
  /**
   * Set if the call has an identity and the ledger did not report whether an earlier call with it ran.
   */
  readonly earlierCalls?: 'notKnown';
}

/**
 * Builds a failure.
 *
 * @param detail - human-readable details of this case
 */
export function failure(
  code: ResultCode,
  detail: string,
  options: Pick<Failure, 'faults' | 'retryAfterMs'> = {},
): Failure {
  return { code, detail, ...options };
}

/** Returns the execution status that a code proves; `unknown` if the code states none. */
export function executionStatusOfCode(code: ResultCode): ExecutionStatus {
  return resultCodes[code].executionStatus ?? 'unknown';
}

/**
 * Returns the execution status that a refusal proves for the work of its call. With `earlierCalls`
 * set, `notRun` becomes `unknown`: an earlier call with the same identity may have run.
 */
export function provenExecutionStatus({ code, earlierCalls }: Failure): ExecutionStatus {
  const status = executionStatusOfCode(code);
  return status === 'notRun' && earlierCalls === 'notKnown' ? 'unknown' : status;
}

/**
 * Marks the refusal of a call with an identity that was issued before the ledger reported its state.
 */
export function withEarlierCallsUnknown(refusal: Failure): Failure {
  return { ...refusal, earlierCalls: 'notKnown' };
}
