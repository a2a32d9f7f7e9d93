import type { ServerResponse } from 'node:http';

import {
  executionHeader,
  requestIdHeader,
  resultCodeHeader,
} from '@buckthornlug/protocol/calls/callHeaders.js';
import {
  failedBackendHeader,
  retryAfterMsHeader,
} from '@buckthornlug/protocol/calls/forwardedCallSchema.js';
import { provenExecutionStatus, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';

/** Retry time of refusals that name none. */
const defaultRetryAfterMs = 1000;
const msPerS = 1000;

/** A refusal as it goes over the wire. */
export interface EncodedRefusal {
  readonly status: number;
  readonly fields: readonly string[];
  readonly body: Buffer;
}

/** Particulars of a refused call. */
export interface RefusalContext {
  readonly requestId?: string | undefined;
  readonly failedBackendId?: string | undefined;
  /** Whether the connection ends with the answer. */
  readonly closesConnection: boolean;
  /** Whether callers understand fractions of a second in the Retry-After field. */
  readonly hasFractionalRetry?: boolean;
}

/**
 * Encodes a refusal as small JSON with code, execution status and retry time.
 *
 * @param problem - why the call is refused
 * @param context - particulars of the call
 */
export function encodeRefusal(problem: Failure, context: RefusalContext): EncodedRefusal {
  const { code, detail, faults } = problem;
  const { requestId, failedBackendId } = context;
  const row = resultCodes[code];
  const execution = provenExecutionStatus(problem);
  const isTemporary = row.httpStatus === 503 || row.httpStatus === 504;
  const retryAfterMs = problem.retryAfterMs ?? (isTemporary ? defaultRetryAfterMs : undefined);
  const content = { code, execution, detail, faults, requestId, retryAfterMs };
  const body = Buffer.from(JSON.stringify(content));
  const fields = ['content-type', 'application/json', 'content-length', String(body.length)];
  fields.push(resultCodeHeader, code, executionHeader, execution);
  if (requestId !== undefined) fields.push(requestIdHeader, requestId);
  if (retryAfterMs !== undefined) {
    const retryAfterS = retryAfterMs / msPerS;
    const isFractional = context.hasFractionalRetry === true;
    fields.push('retry-after', isFractional ? retryAfterS.toFixed(3) : `${Math.ceil(retryAfterS)}`);
    fields.push(retryAfterMsHeader, String(Math.ceil(retryAfterMs)));
  }
  if (failedBackendId !== undefined) fields.push(failedBackendHeader, failedBackendId);
  if (context.closesConnection) fields.push('connection', 'close');
  return { status: row.httpStatus, fields, body };
}

/**
 * Breaks the connection of an answer, so that what was sent of it cannot be taken for whole.
 *
 * @param response - answer that has begun
 */
export function resetConnection(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null) return;
  socket.resetAndDestroy();
}

/**
 * Refuses a call. A request whose body has not arrived wholly ends its connection; an answer that
 * has begun is broken off.
 *
 * @param response - answer to the call
 * @param problem - why the call is refused
 * @param context - particulars of the call
 */
export function sendRefusal(
  response: ServerResponse,
  problem: Failure,
  context: Omit<RefusalContext, 'closesConnection'> = {},
): void {
  if (response.headersSent) {
    resetConnection(response);
    return;
  }
  if (response.destroyed) return;
  const closesConnection = !response.req.complete;
  const refusal = encodeRefusal(problem, { ...context, closesConnection });
  response.writeHead(refusal.status, refusal.fields as string[]);
  response.end(refusal.body);
  if (closesConnection) response.req.resume();
}
