import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import {
  announcePath,
  healthPath,
  lookupPath,
  reservedPathPrefix,
} from '@buckthornlug/protocol/calls/callHeaders.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { sendRefusal } from './refusal.js';
import type { RefusedConnections } from './refusedConnections.js';

/** Handles one request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Handlers of the listener for callers, by path. */
export interface CallersHandlers {
  readonly lookup: RequestHandler;
  readonly announce: RequestHandler;
  readonly health: RequestHandler;
  readonly call: RequestHandler;
}

/** Interval between checks for requests whose head exceeds its time limit. */
const headCheckIntervalMs = 500;
const keepAliveTimeoutMs = 15_000;

function selectHandler(handlers: CallersHandlers, url: string): RequestHandler | undefined {
  if (!url.startsWith(reservedPathPrefix)) return handlers.call;
  const queryAt = url.indexOf('?');
  const path = queryAt < 0 ? url : url.slice(0, queryAt);
  if (path === lookupPath) return handlers.lookup;
  if (path === announcePath) return handlers.announce;
  if (path === healthPath) return handlers.health;
  return undefined;
}

/**
 * Creates a server that passes every well-formed request to one handler.
 *
 * @param refusedConnections - refuses connections from which no request can be read
 */
export function createEntryServer(
  limits: Settings['limits'],
  refusedConnections: RefusedConnections,
  handle: RequestHandler,
): Server {
  const server = createServer(
    {
      maxHeaderSize: limits.maxHeadBytes,
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: headCheckIntervalMs,
      keepAliveTimeout: keepAliveTimeoutMs,
      noDelay: true,
    },
    (request, response) => {
      if (refusedConnections.admit(request)) handle(request, response);
    },
  );
  server.maxConnections = limits.maxConnections;
  refusedConnections.attach(server);
  return server;
}

/** Creates the server for callers and backend servers, which selects a handler by path. */
export function createCallersServer(
  limits: Settings['limits'],
  refusedConnections: RefusedConnections,
  handlers: CallersHandlers,
): Server {
  return createEntryServer(limits, refusedConnections, (request, response) => {
    const handler = selectHandler(handlers, request.url ?? '/');
    if (handler === undefined) {
      sendRefusal(response, failure('BL3001', 'this host has no such path'));
      return;
    }
    handler(request, response);
  });
}
