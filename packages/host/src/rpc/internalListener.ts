import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { formatHybridTime } from '@buckthornlug/core/timeline/hybridClock.js';
import { clockHeader, procedurePathPrefix } from '@buckthornlug/protocol/calls/callHeaders.js';

import type { Failure } from '@buckthornlug/protocol/results/failure.js';

import { sendRefusal } from '../calls/refusal.js';
import type { AppRouter } from './appRouter.js';
import {
  compressBody,
  compressedCoding,
  isWorthCompressing,
  listsCompressedCoding,
} from './bodyCompression.js';
import { runProcedure } from './procedureAnswer.js';
import type { RequestAuth } from './requestAuth.js';
import { readRpcBody } from './rpcBody.js';
import { observeClockHeader } from '../timeline/clockHeader.js';
import type { TimelineRecorder } from '../timeline/timelineRecorder.js';

/** Allowance for the header fields that a forwarding host adds to a call. */
const forwardingHeadBytes = 8192;
const keepAliveTimeoutMs = 60_000;

/** Handles a call that another host forwarded. */
export type ForwardedCallHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  fromHostId: string,
) => void;

/** Router, authentication and handlers of the listener for other hosts. */
export interface InternalListenerParts {
  readonly router: AppRouter;
  readonly auth: RequestAuth;
  /** Called for each request without a valid signature. */
  readonly onKeyRefused: (refusal: Failure) => void;
  readonly timeline: Pick<TimelineRecorder, 'readClock' | 'observeClock'>;
  /** Largest head of a forwarded call, without the added header fields. */
  readonly maxHeadBytes: number;
  /** Returns the current handler of forwarded calls; read at each request. */
  readonly forwardedCalls: () => ForwardedCallHandler;
}

/** Merges the sender's clock into this host's clock and sends the result in the response. */
function exchangeClocks(
  timeline: InternalListenerParts['timeline'],
  request: IncomingMessage,
  response: ServerResponse,
): void {
  observeClockHeader(timeline, request.headers[clockHeader]);
  response.setHeader(clockHeader, formatHybridTime(timeline.readClock()));
}

/** Refuses a request and reports an invalid signature. */
function reportAndRefuse(
  parts: InternalListenerParts,
  response: ServerResponse,
  refusal: Failure,
): void {
  if (refusal.code === 'BL6001') parts.onKeyRefused(refusal);
  sendRefusal(response, refusal);
}

async function answerProcedure(
  parts: InternalListenerParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readRpcBody(request);
  const sender = body.andThen((text) => parts.auth.authenticate(request, text));
  if (sender.isErr()) {
    reportAndRefuse(parts, response, sender.error);
    return;
  }
  exchangeClocks(parts.timeline, request, response);
  const requestText = body.unwrapOr('');
  const url = request.url ?? '/';
  const queryAt = url.indexOf('?');
  const { status, text } = await runProcedure(
    parts.router,
    {
      method: request.method ?? '',
      path: url.slice(procedurePathPrefix.length, queryAt < 0 ? undefined : queryAt),
      query: queryAt < 0 ? '' : url.slice(queryAt + 1),
      body: requestText,
    },
    { fromHostId: sender.value },
  );
  const isCompressed =
    isWorthCompressing(text) && listsCompressedCoding(request.headers['accept-encoding']);
  const answer = isCompressed ? compressBody(text) : text;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(answer),
    ...(isCompressed ? { 'content-encoding': compressedCoding } : {}),
    // Tells the sender of a long body that this host takes compressed ones.
    ...(isWorthCompressing(requestText) ? { 'accept-encoding': compressedCoding } : {}),
  });
  response.end(answer);
}

function answerForwardedCall(
  parts: InternalListenerParts,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const sender = parts.auth.authenticate(request);
  if (sender.isErr()) {
    reportAndRefuse(parts, response, sender.error);
    return;
  }
  exchangeClocks(parts.timeline, request, response);
  parts.forwardedCalls()(request, response, sender.value);
}

/**
 * Creates the server for requests of other hosts: procedures under `/rpc`, forwarded calls on all
 * other paths.
 */
export function createInternalServer(parts: InternalListenerParts): Server {
  const maxHeaderSize = parts.maxHeadBytes + forwardingHeadBytes;
  const server = createServer({ maxHeaderSize }, (request, response) => {
    if (!request.url?.startsWith(procedurePathPrefix)) {
      answerForwardedCall(parts, request, response);
      return;
    }
    answerProcedure(parts, request, response).catch((error: unknown) => {
      response.destroy(error instanceof Error ? error : undefined);
    });
  });
  server.keepAliveTimeout = keepAliveTimeoutMs;
  return server;
}
