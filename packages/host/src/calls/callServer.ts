import { requestIdHeader } from '@buckthornlug/protocol/calls/callHeaders.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { createStreamingSink } from './answerSinks.js';
import { watchForAbort, type CallAbort } from './callAbort.js';
import { createCallLabels } from './callLabels.js';
import { CallsInFlight } from './callsInFlight.js';
import type { RunCall } from './callRunner.js';
import type { AcceptedCall } from './callTypes.js';
import { findIdentity, toRefusalBeforeLedger, runOnce } from './onceWork.js';
import { sendRefusal } from './refusal.js';
import { createBodyBudget } from './bodyBudget.js';
import { bytesToBuffer, receiveBody } from './requestBody.js';

const bodiesFullRetryAfterMs = 500;

/** Serves accepted calls until they are answered or refused. */
export interface CallServer {
  /** Serves a call and sends the answer or refusal as its response. */
  readonly serve: (call: AcceptedCall) => void;
  readonly callsInFlight: () => number;
  /** Resolves when no call is in flight, or after `timeoutMs`. */
  readonly whenIdle: (timeoutMs: number) => Promise<void>;
}

/** Result of a call, for its refusal, the log and the metrics. */
interface ServedCall {
  readonly failure?: Failure | undefined;
  readonly failedBackendId?: string | undefined;
}

/**
 * Creates the server of calls.
 *
 * @param parts - provides the ledger
 */
export function createCallServer(
  context: HostContext,
  parts: HostParts,
  runCall: RunCall,
): CallServer {
  const { limits } = context.settings;
  const inFlight = new CallsInFlight();

  const runWithBody = async (
    call: AcceptedCall,
    identity: string | undefined,
    abort: CallAbort,
  ): Promise<ServedCall> => {
    const received = await receiveBody(call.request, limits, identity !== undefined, abort.signal);
    if (received.isErr()) return { failure: toRefusalBeforeLedger(call, received.error) };
    const body = received.value;
    const extraFields = [requestIdHeader, call.requestId];
    if (identity !== undefined && body.form === 'whole') {
      const work = { parts, runCall };
      return { failure: await runOnce(work, call, identity, body, abort.signal, extraFields) };
    }
    const sink = createStreamingSink(call.response, extraFields);
    return runCall(call, body, sink, abort.signal);
  };

  const bodyBudget = createBodyBudget(limits.maxBufferedBytes);

  const runAccepted = async (call: AcceptedCall, abort: CallAbort): Promise<ServedCall> => {
    const identity = findIdentity(call);
    const reservedBytes = bytesToBuffer(call.request, limits, identity !== undefined);
    if (!bodyBudget.tryReserve(reservedBytes)) {
      const more = { retryAfterMs: bodiesFullRetryAfterMs };
      const full = failure('BL3002', 'the memory for buffered bodies is full', more);
      return { failure: toRefusalBeforeLedger(call, full) };
    }
    try {
      return await runWithBody(call, identity, abort);
    } finally {
      bodyBudget.release(reservedBytes);
    }
  };

  const findLabels = createCallLabels();

  const recordOutcome = (call: AcceptedCall, served: ServedCall) => {
    const { service } = call.callClass;
    const { labels, withResult } = findLabels(call.callClass);
    const result = served.failure?.code ?? 'answered';
    const elapsedMs = context.clock.nowMs() - call.arrivedAtMs;
    context.metrics.count('calls_total', withResult(result));
    if (served.failure === undefined) context.metrics.observeMs('call_ms', elapsedMs, labels);
    if (served.failure === undefined || served.failure.code === 'BL3017') return;
    context.record({
      kind: 'callRefused',
      requestId: call.requestId,
      service,
      code: served.failure.code,
    });
  };

  const serveToEnd = async (call: AcceptedCall): Promise<void> => {
    inFlight.begin();
    const timeLeftMs = call.deadlineAtMs - context.clock.nowMs();
    const isOnce = call.callClass.execution === 'once';
    const abort = watchForAbort(call.response, timeLeftMs, !isOnce);
    try {
      const served = await runAccepted(call, abort);
      const { requestId } = call;
      if (served.failure !== undefined) {
        const { failedBackendId } = served;
        sendRefusal(call.response, served.failure, { requestId, failedBackendId });
      }
      recordOutcome(call, served);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      context.log.error('callDefect', { requestId: call.requestId, detail });
      sendRefusal(call.response, failure('BL3018', detail), { requestId: call.requestId });
    } finally {
      abort.dispose();
      inFlight.end();
    }
  };

  return {
    serve: (call) => {
      serveToEnd(call).catch((error: unknown) => {
        context.log.error('callDefect', { detail: String(error) });
      });
    },
    callsInFlight: () => inFlight.count,
    whenIdle: (timeoutMs) => inFlight.whenIdle(timeoutMs),
  };
}
