import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

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

import { hasBody } from './requestBody.js';

/** Retry time of temporary refusals that name none. */
const defaultRetryAfterMs = 1000;
const msPerS = 1000;

/** A refusal as an HTTP response. */
export interface EncodedRefusal {
  readonly status: number;
  readonly fields: readonly string[];
  readonly body: Buffer;
}

/** Details of a refused call and of its response. */
export interface RefusalContext {
  readonly requestId?: string | undefined;
  readonly failedBackendId?: string | undefined;
  /** Whether the connection is closed after the response. */
  readonly closesConnection: boolean;
  /** Whether Retry-After may carry fractions of a second, for callers that understand them. */
  readonly hasFractionalRetry?: boolean;
}

/** Encodes a refusal as a small JSON response with code, execution status and retry time. */
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
 * Resets the connection of a started response, so that the caller cannot take the part sent for
 * complete. A response that waits for those to earlier requests resets it when it is its turn.
 */
export function resetConnection(response: ServerResponse): void {
  const { socket } = response;
  if (socket !== null) socket.resetAndDestroy();
  else response.once('socket', (assigned: Socket) => assigned.resetAndDestroy());
}

/**
 * Whether a part of the request body has not arrived. A request without a body has not, although
 * Node.js marks it as complete only after its handler has run.
 */
export function hasUnreadBody(request: IncomingMessage): boolean {
  return !request.complete && hasBody(request);
}

/**
 * Refuses a call. If the request body has not arrived completely, the connection is closed after the
 * refusal; if the response has already started, its connection is reset instead.
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
  const closesConnection = hasUnreadBody(response.req);
  const refusal = encodeRefusal(problem, { ...context, closesConnection });
  response.writeHead(refusal.status, refusal.fields as string[]);
  response.end(refusal.body);
  if (closesConnection) response.req.resume();
}
