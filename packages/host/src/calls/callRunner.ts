import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { PendingCall, Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { CallAborted } from './callAborted.js';
import type { AcceptedCall, AnswerSink, AttemptResult } from './callTypes.js';
import type { Dispatch } from './dispatch.js';
import type { RequestBody } from './requestBody.js';

/** How a call ended after all its attempts. */
export interface RunResult {
  /** Absent after a whole answer. */
  readonly failure?: Failure;
  /** Whether the sink has got the head of an answer. */
  readonly answerStarted: boolean;
  /** Whether it is proved that no attempt ran the call. */
  readonly isNotRun: boolean;
  readonly failedBackendId?: string | undefined;
}

/** Places and dispatches a call until it is answered or must be given up. */
export type RunCall = (
  call: AcceptedCall,
  body: RequestBody,
  sink: AnswerSink,
  signal: AbortSignal,
) => Promise<RunResult>;

const queueFullRetryAfterMs = 500;

/**
 * A call as the placement sees it.
 *
 * @param call - classified call
 * @param attempt - number of its attempt on this host
 * @param excluded - backend servers and hosts that failed it
 * @param signal - aborted when the caller hangs up
 */
export function pendingOf(
  call: AcceptedCall,
  attempt: number,
  excluded: readonly string[],
  signal: AbortSignal,
): PendingCall {
  const { callClass } = call;
  return {
    requestId: call.requestId,
    service: callClass.service,
    kind: callClass.kind.id,
    rank: callClass.rank,
    execution: callClass.execution,
    arrivedAtMs: call.arrivedAtMs,
    targetAtMs: call.targetAtMs,
    deadlineAtMs: call.deadlineAtMs,
    attempt: call.earlierAttempts + attempt,
    excluded,
    origin: call.origin,
    originRegion: call.originRegion,
    signal,
    ...(call.creditId === undefined ? {} : { creditId: call.creditId }),
  };
}

/** Why a call whose placement came back after its abort is not dispatched. */
function abortedBeforeDispatch(signal: AbortSignal): Failure {
  const reason: unknown = signal.reason;
  if (reason instanceof CallAborted && reason.result === 'timedOut')
    return failure('BL3004', 'the deadline passed');
  return failure('BL3017', 'the caller hung up');
}

/** Joins what two attempts prove: once one may have run the call, the whole may have run. */
function joinResults(earlier: RunResult | undefined, next: RunResult): RunResult {
  if (earlier === undefined || earlier.isNotRun || !next.isNotRun) return next;
  return earlier;
}

/** Tells whether an attempt leaves the call as it was, so that another may follow. */
function isRepeatable(pending: PendingCall, body: RequestBody, result: AttemptResult): boolean {
  if (result.answerStarted || body.form === 'stream') return false;
  if (result.outcome.result === 'notRun') return true;
  return result.outcome.result === 'broken' && pending.execution === 'idempotent';
}

function failedPlaces(
  placement: Exclude<Placement, { readonly place: 'refused' }>,
  result: AttemptResult,
): string[] {
  if (placement.place === 'backend') return [placement.backendId];
  return result.failedBackendId === undefined ? [placement.hostId] : [result.failedBackendId];
}

/**
 * Creates the runner of calls.
 *
 * @param context - context of the host
 * @param parts - placement and retry decisions
 * @param dispatch - sends a call to its place
 */
export function createCallRunner(
  context: HostContext,
  parts: HostParts,
  dispatch: Dispatch,
): RunCall {
  const { maxQueuedCalls } = context.settings.limits;
  let waitingCalls = 0;

  const place = async (pending: PendingCall): Promise<Placement> => {
    if (waitingCalls >= maxQueuedCalls) {
      const more = { retryAfterMs: queueFullRetryAfterMs };
      return { place: 'refused', failure: failure('BL3002', 'too many calls wait', more) };
    }
    waitingCalls += 1;
    try {
      return await parts.placeCall(pending);
    } finally {
      waitingCalls -= 1;
    }
  };

  return async (call, body, sink, signal) => {
    const excluded = [...call.excluded];
    let lastFailure: RunResult | undefined;
    for (let attempt = 0; ; attempt += 1) {
      const pending = pendingOf(call, attempt, excluded, signal);
      const placement = await place(pending);
      if (placement.place === 'refused') {
        if (lastFailure !== undefined) return lastFailure;
        return { failure: placement.failure, answerStarted: false, isNotRun: true };
      }
      if (signal.aborted) {
        placement.release({ result: 'cancelled', elapsedMs: 0 });
        const problem = abortedBeforeDispatch(signal);
        return joinResults(lastFailure, {
          failure: problem,
          answerStarted: false,
          isNotRun: true,
        });
      }
      const result = await dispatch({ call, pending, body, sink }, placement);
      placement.release(result.outcome);
      if (result.failure === undefined) return { answerStarted: true, isNotRun: false };
      lastFailure = joinResults(lastFailure, {
        failure: result.failure,
        answerStarted: result.answerStarted,
        isNotRun: result.outcome.result === 'notRun' || !result.requestStarted,
        failedBackendId: result.failedBackendId,
      });
      const mayRepeat = isRepeatable(pending, body, result) && call.origin === 'caller';
      if (!mayRepeat || !parts.mayRetry(pending, result.outcome)) return lastFailure;
      excluded.push(...failedPlaces(placement, result));
      context.record({
        kind: 'callRetried',
        requestId: call.requestId,
        service: pending.service,
        code: result.failure.code,
      });
      context.metrics.count('calls_retried_total', { service: pending.service });
    }
  };
}
