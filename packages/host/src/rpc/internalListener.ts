import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { formatHybridTime } from '@buckthornlug/core/timeline/hybridClock.js';
import { clockHeader } from '@buckthornlug/protocol/calls/callHeaders.js';
import { nodeHTTPRequestHandler } from '@trpc/server/adapters/node-http';

import { sendRefusal } from '../calls/refusal.js';
import type { AppRouter } from './appRouter.js';
import type { RequestAuth } from './requestAuth.js';
import { observeClockHeader } from '../timeline/clockHeader.js';
import type { TimelineRecorder } from '../timeline/timelineRecorder.js';

const rpcPrefix = '/rpc/';
/** Largest body of a request between hosts. */
const maxRpcBodyBytes = 64 * 1024 * 1024;
const keepAliveTimeoutMs = 60_000;

/** Takes a call that another host forwarded. */
export type ForwardedCallHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  fromHostId: string,
) => void;

/** What the listener for other hosts is given. */
export interface InternalListenerParts {
  readonly router: AppRouter;
  readonly auth: RequestAuth;
  readonly timeline: Pick<TimelineRecorder, 'readClock' | 'observeClock'>;
  /** Handler of forwarded calls at the moment of the request. */
  readonly forwardedCalls: () => ForwardedCallHandler;
}

/** Takes in the sender's clock and sends back the own one. */
function exchangeClocks(
  timeline: InternalListenerParts['timeline'],
  request: IncomingMessage,
  response: ServerResponse,
): void {
  observeClockHeader(timeline, request.headers[clockHeader]);
  response.setHeader(clockHeader, formatHybridTime(timeline.readClock()));
}

/**
 * Creates the server for requests of other hosts: procedures under `/rpc`, forwarded calls elsewhere.
 *
 * @param parts - router, authentication and handler of forwarded calls
 */
export function createInternalServer(parts: InternalListenerParts): Server {
  const server = createServer((request, response) => {
    const sender = parts.auth.authenticate(request);
    if (sender.isErr()) {
      sendRefusal(response, sender.error);
      return;
    }
    exchangeClocks(parts.timeline, request, response);
    const url = request.url ?? '/';
    if (!url.startsWith(rpcPrefix)) {
      parts.forwardedCalls()(request, response, sender.value);
      return;
    }
    const queryAt = url.indexOf('?');
    nodeHTTPRequestHandler({
      router: parts.router,
      req: request,
      res: response,
      path: url.slice(rpcPrefix.length, queryAt < 0 ? undefined : queryAt),
      createContext: () => Promise.resolve({ fromHostId: sender.value }),
      maxBodySize: maxRpcBodyBytes,
    }).catch((error: unknown) => response.destroy(error as Error));
  });
  server.keepAliveTimeout = keepAliveTimeoutMs;
  return server;
}
