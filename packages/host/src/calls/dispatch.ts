import {
  executionHeader,
  requestIdHeader,
  resultCodeHeader,
  timeLeftHeader,
} from '@buckthornlug/protocol/calls/callHeaders.js';
import {
  failedBackendHeader,
  forwardedCallHeader,
  retryAfterMsHeader,
  type ForwardedCall,
} from '@buckthornlug/protocol/calls/forwardedCallSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { resultCodes, type ResultCode } from '@buckthornlug/protocol/results/resultCodes.js';
import type { PendingCall, Placement } from '@buckthornlug/protocol/steering/placementTypes.js';
import { endToEndFields, fieldValue } from '@buckthornlug/core/calls/headerFields.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { runAttempt, type HeadRefusal } from './attempt.js';
import type { AcceptedCall, AnswerSink, AttemptResult } from './callTypes.js';
import type { Connections } from './connections.js';
import type { RequestBody } from './requestBody.js';

/** A call with what all its attempts share. */
export interface DispatchedCall {
  readonly call: AcceptedCall;
  readonly pending: PendingCall;
  readonly body: RequestBody;
  readonly sink: AnswerSink;
  /** Whether this is the hedged attempt: its error answers are rejected, as the first attempt may still answer. */
  readonly isHedge?: boolean;
}

/** Sends a call to the backend server or host of its placement. */
export type Dispatch = (
  dispatched: DispatchedCall,
  placement: Exclude<Placement, { readonly place: 'refused' }>,
) => Promise<AttemptResult>;

const shedRetryAfterMs = 500;
const minErrorStatus = 500;

function isResultCode(code: string): code is ResultCode {
  return Object.hasOwn(resultCodes, code);
}

function parseRetryAfter(fields: readonly string[]): { retryAfterMs?: number } {
  const retryAfterMs = Number(fieldValue(fields, retryAfterMsHeader));
  return Number.isFinite(retryAfterMs) && retryAfterMs > 0 ? { retryAfterMs } : {};
}

/** Reads the refusal of another host from the header fields of its answer. */
function findHostRefusal(hostId: string, fields: readonly string[]): HeadRefusal | undefined {
  const code = fieldValue(fields, resultCodeHeader);
  if (code === undefined) return undefined;
  const detail = `refused by host "${hostId}"`;
  if (!isResultCode(code)) {
    return { failure: failure('BL3014', `${detail} with ${code}`), result: 'broken' };
  }
  const isNotRun = fieldValue(fields, executionHeader) === 'notRun';
  const failedBackendId = fieldValue(fields, failedBackendHeader);
  return {
    failure: failure(code, detail, parseRetryAfter(fields)),
    result: isNotRun ? 'notRun' : 'broken',
    ...(failedBackendId === undefined ? {} : { failedBackendId }),
  };
}

/** Returns a refusal if the answer's status proves that the backend server did not run the call. */
function findBackendRefusal(
  call: AcceptedCall,
  backendId: string,
  status: number,
): HeadRefusal | undefined {
  if (!call.section.notRunStatuses.includes(status)) return undefined;
  const shed: Failure = failure('BL3015', `backend server "${backendId}" answered ${status}`, {
    retryAfterMs: shedRetryAfterMs,
  });
  return { failure: shed, result: 'notRun', failedBackendId: backendId };
}

/** Rejects an error answer of the hedged attempt, so that it does not win over the first attempt. */
function rejectHedgeError(backendId: string, status: number): HeadRefusal | undefined {
  if (status < minErrorStatus) return undefined;
  const problem = failure('BL3006', `backend server "${backendId}" answered ${status}`);
  return { failure: problem, result: 'broken', failedBackendId: backendId };
}

function timeLeftMs(context: HostContext, pending: PendingCall): number {
  return Math.max(0, Math.round(pending.deadlineAtMs - context.clock.nowMs()));
}

function describeForwarded(
  context: HostContext,
  { call, pending }: DispatchedCall,
  crossesZones: boolean,
  creditId: string | undefined,
): ForwardedCall {
  return {
    requestId: call.requestId,
    service: pending.service,
    kind: pending.kind,
    rank: pending.rank,
    timeLeftMs: timeLeftMs(context, pending),
    targetLeftMs: Math.round(pending.targetAtMs - context.clock.nowMs()),
    attempt: pending.attempt,
    excluded: [...pending.excluded],
    originZone: call.originZone,
    originRegion: call.originRegion,
    crossedZones: call.crossedZones || crossesZones,
    ...(creditId === undefined ? {} : { creditId }),
  };
}

/** Creates the result of an attempt that ended before anything was sent. */
function createNotSentResult(problem: Failure): AttemptResult {
  return {
    outcome: { result: 'notRun', elapsedMs: 0 },
    failure: problem,
    answerStarted: false,
    requestStarted: false,
  };
}

/**
 * Creates the function that dispatches the calls of a host.
 *
 * @param parts - provides the addresses of other hosts and the signatures of requests to them
 */
export function createDispatch(
  context: HostContext,
  parts: HostParts,
  connections: Connections,
): Dispatch {
  const createCommonPlan = ({ call, pending, body, sink }: DispatchedCall) => ({
    method: call.request.method ?? 'GET',
    path: call.request.url ?? '/',
    body,
    sink,
    signal: pending.signal,
    nowMs: context.clock.nowMs,
  });

  const toBackend = (
    dispatched: DispatchedCall,
    placement: Extract<Placement, { readonly place: 'backend' }>,
  ) => {
    const { call, pending } = dispatched;
    const fields = endToEndFields(call.request.rawHeaders);
    fields.push(requestIdHeader, call.requestId);
    fields.push(timeLeftHeader, String(timeLeftMs(context, pending)));
    return runAttempt({
      ...createCommonPlan(dispatched),
      dispatcher: connections.toBackend(placement.endpoint),
      mayStart: placement.mayStart,
      fields,
      checkHead: (status) => {
        const shed = findBackendRefusal(call, placement.backendId, status);
        if (shed !== undefined || dispatched.isHedge !== true) return shed;
        return rejectHedgeError(placement.backendId, status);
      },
      brokenCode: 'BL3006',
    });
  };

  const toHost = (
    dispatched: DispatchedCall,
    placement: Extract<Placement, { readonly place: 'host' }>,
  ) => {
    const { call } = dispatched;
    const { hostId, creditId } = placement;
    const endpoint = parts.peers.addressOf(hostId);
    const zone = parts.membership.find(hostId)?.availabilityZone;
    if (endpoint === undefined || zone === undefined) {
      return Promise.resolve(
        createNotSentResult(failure('BL3003', `host "${hostId}" is not known`)),
      );
    }
    const crossesZones = zone !== context.settings.availabilityZone;
    const mayForward = call.origin === 'caller' || (call.origin === 'zonePeer' && crossesZones);
    if (!mayForward || (call.crossedZones && crossesZones)) {
      return Promise.resolve(
        createNotSentResult(
          failure('BL3011', `the call cannot be forwarded again, to host "${hostId}"`),
        ),
      );
    }
    const forwarded = describeForwarded(context, dispatched, crossesZones, creditId);
    const plan = createCommonPlan(dispatched);
    const fields = endToEndFields(call.request.rawHeaders);
    const routing = JSON.stringify(forwarded);
    const signature = parts.auth.sign({
      toHostId: hostId,
      method: plan.method,
      path: plan.path,
      routing,
    });
    for (const [name, value] of Object.entries(signature)) fields.push(name, value);
    fields.push(forwardedCallHeader, routing);
    return runAttempt({
      ...plan,
      dispatcher: connections.toHost(endpoint),
      mayStart: () => true,
      fields,
      checkHead: (_status, answerFields) => findHostRefusal(hostId, answerFields),
      brokenCode: 'BL3014',
    });
  };

  return (dispatched, placement) => {
    if (placement.place === 'backend') return toBackend(dispatched, placement);
    return toHost(dispatched, placement);
  };
}
