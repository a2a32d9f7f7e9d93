import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import type { PendingCall, Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { CallAborted } from './callAborted.js';
import type { AcceptedCall, AnswerSink, AttemptResult } from './callTypes.js';
import type { Dispatch, DispatchedCall } from './dispatch.js';
import { dispatchHedged, type HedgeParts } from './hedgedDispatch.js';
import type { RequestBody } from './requestBody.js';

/** Result of a call after all its attempts. */
export interface RunResult {
  /** Absent if the call was answered completely. */
  readonly failure?: Failure;
  /** Whether the head of an answer was passed to the sink. */
  readonly answerStarted: boolean;
  /** Whether it is proven that no attempt ran the call. */
  readonly isNotRun: boolean;
  readonly failedBackendId?: string | undefined;
}

/** Places and dispatches a call, with retries, until it is answered or no further attempt is allowed. */
export type RunCall = (
  call: AcceptedCall,
  body: RequestBody,
  sink: AnswerSink,
  signal: CallSignal,
) => Promise<RunResult>;

const queueFullRetryAfterMs = 500;

/** A placement that names a backend server or a host to send the call to. */
type GrantedPlacement = Exclude<Placement, { readonly place: 'refused' }>;

/** Result of one dispatch, including its hedged attempt if there was one. */
interface DispatchResult {
  readonly result: AttemptResult;
  /** Ids of the backend servers or hosts to exclude from the next attempt. */
  readonly triedIds: readonly string[];
  readonly attempts: number;
}

/**
 * Builds the description of a call that the placement works with.
 *
 * @param attempt - earlier attempts of the call on this host
 * @param excluded - ids of the backend servers and hosts that failed the call
 * @param signal - aborted when the caller closes the connection or the deadline passes
 */
export function toPendingCall(
  call: AcceptedCall,
  attempt: number,
  excluded: readonly string[],
  signal: CallSignal,
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

/** Failure of a call that was aborted while it waited for its placement. */
function abortedBeforeDispatch(signal: CallSignal): Failure {
  const reason: unknown = signal.reason;
  if (reason instanceof CallAborted && reason.result === 'timedOut')
    return failure('BL3004', 'the deadline passed');
  return failure('BL3017', 'the caller closed the connection');
}

/** Combines the results of two attempts: if either may have run the call, the call may have run. */
function combineResults(earlier: RunResult | undefined, next: RunResult): RunResult {
  if (earlier === undefined || earlier.isNotRun || !next.isNotRun) return next;
  return earlier;
}

/** Whether another attempt is safe: the call did not run or is idempotent, and its body can be sent again. */
function isRetryable(pending: PendingCall, body: RequestBody, result: AttemptResult): boolean {
  if (result.answerStarted || body.form === 'stream') return false;
  if (result.outcome.result === 'notRun') return true;
  return result.outcome.result === 'broken' && pending.execution === 'idempotent';
}

function failedTargetIds(placement: GrantedPlacement, result: AttemptResult): readonly string[] {
  if (placement.place === 'backend') return [placement.backendId];
  return result.failedBackendId === undefined ? [placement.hostId] : [result.failedBackendId];
}

/**
 * Creates the function that runs calls.
 *
 * @param parts - provides placement, hedging and retry decisions
 */
export function createCallRunner(
  context: HostContext,
  parts: HostParts,
  dispatch: Dispatch,
): RunCall {
  const { maxQueuedCalls } = context.settings.limits;
  let waitingCalls = 0;

  const findPlacement = async (pending: PendingCall): Promise<Placement> => {
    if (waitingCalls >= maxQueuedCalls) {
      const more = { retryAfterMs: queueFullRetryAfterMs };
      return {
        place: 'refused',
        failure: failure('BL3002', 'too many calls are waiting for a placement', more),
      };
    }
    waitingCalls += 1;
    try {
      return await parts.placeCall(pending);
    } finally {
      waitingCalls -= 1;
    }
  };

  const hedgeParts = ({ pending }: DispatchedCall): HedgeParts => {
    const labels = { service: pending.service };
    return {
      dispatch,
      place: parts.hedging.place,
      onHedged: () => {
        const { requestId, service } = pending;
        context.record({ kind: 'callHedged', requestId, service });
        context.metrics.count('calls_hedged_total', labels);
      },
      onHedgeWon: () => context.metrics.count('hedges_won_total', labels),
    };
  };

  /** Sends a call to its placement; a hedgeable call whose answer is late also to a second backend server. */
  const send = async (
    dispatched: DispatchedCall,
    placement: GrantedPlacement,
  ): Promise<DispatchResult> => {
    const { call, pending, body } = dispatched;
    if (placement.place === 'backend' && call.callClass.kind.hedge && body.form === 'whole') {
      const delayMs = parts.hedging.delayMs(pending);
      if (delayMs !== undefined) {
        const hedge = hedgeParts(dispatched);
        const { result, backendIds } = await dispatchHedged(hedge, dispatched, placement, delayMs);
        return { result, triedIds: backendIds, attempts: backendIds.length };
      }
    }
    const result = await dispatch(dispatched, placement);
    const { outcome, failure: problem } = result;
    placement.release(problem === undefined ? outcome : { ...outcome, failure: problem });
    return { result, triedIds: failedTargetIds(placement, result), attempts: 1 };
  };

  return async (call, body, sink, signal) => {
    const excluded = [...call.excluded];
    let lastFailure: RunResult | undefined;
    let attempt = 0;
    for (;;) {
      const pending = toPendingCall(call, attempt, excluded, signal);
      const placement = await findPlacement(pending);
      if (placement.place === 'refused') {
        if (lastFailure !== undefined) return lastFailure;
        return { failure: placement.failure, answerStarted: false, isNotRun: true };
      }
      if (signal.aborted) {
        placement.release({ result: 'cancelled', elapsedMs: 0 });
        const problem = abortedBeforeDispatch(signal);
        return combineResults(lastFailure, {
          failure: problem,
          answerStarted: false,
          isNotRun: true,
        });
      }
      const { result, triedIds, attempts } = await send({ call, pending, body, sink }, placement);
      if (result.failure === undefined) return { answerStarted: true, isNotRun: false };
      lastFailure = combineResults(lastFailure, {
        failure: result.failure,
        answerStarted: result.answerStarted,
        isNotRun: result.outcome.result === 'notRun' || !result.requestStarted,
        failedBackendId: result.failedBackendId,
      });
      const canRetry = isRetryable(pending, body, result) && call.origin === 'caller';
      if (!canRetry || !parts.mayRetry(pending, result.outcome)) return lastFailure;
      attempt += attempts;
      excluded.push(...triedIds);
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
