import { resultCodes, type ExecutionStatus, type ResultCode } from './resultCodes.js';

/** A single fault of a checked input: where it stands and what is wrong. */
export interface Fault {
  /** Path of the field, such as `services/parts-desk/kinds/0/rank`. */
  readonly path: string;
  /** What is wrong, in plain words. */
  readonly problem: string;
}

/** An expected failure: a numbered code with the particulars of this case. */
export interface Failure {
  readonly code: ResultCode;
  /** Particulars of this case, in plain words. */
  readonly detail: string;
  /** Each fault of a checked input. */
  readonly faults?: readonly Fault[];
  /** Time after which a retry makes sense, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Set where the call names an identity and nobody was asked whether an earlier call with it ran. */
  readonly earlierCalls?: 'notKnown';
}

/**
 * Builds a failure.
 *
 * @param code - numbered result code
 * @param detail - particulars of this case
 * @param options - faults and retry time
 */
export function failure(
  code: ResultCode,
  detail: string,
  options: Pick<Failure, 'faults' | 'retryAfterMs'> = {},
): Failure {
  return { code, detail, ...options };
}

/**
 * Tells what a failure proves about the execution of its call. A code without a stated execution status proves
 * nothing.
 *
 * @param code - numbered result code
 */
export function executionStatusOfCode(code: ResultCode): ExecutionStatus {
  return resultCodes[code].executionStatus ?? 'unknown';
}

/**
 * Tells what a refusal proves about the work that its call names. A call that did not start proves
 * nothing about the work where earlier calls with its identity are not known.
 *
 * @param problem - why the call is refused
 */
export function provenExecutionStatus({ code, earlierCalls }: Failure): ExecutionStatus {
  const status = executionStatusOfCode(code);
  return status === 'notRun' && earlierCalls === 'notKnown' ? 'unknown' : status;
}

/**
 * Marks a refusal of a call with an identity that was given before the ledger told its state.
 *
 * @param refusal - why the call is refused
 */
export function withEarlierCallsUnknown(refusal: Failure): Failure {
  return { ...refusal, earlierCalls: 'notKnown' };
}
