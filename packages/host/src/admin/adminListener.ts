import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import type { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';

import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { closeServer, listen } from '../runtime/listen.js';

/** Adds the routes of one feature to the administration API. */
export type RegisterRoutes = (app: Hono) => void;

/** Handles a request of an operator. */
export type HandleAdminRequest = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** A listening administration API. */
export interface AdminListener {
  readonly close: () => Promise<void>;
}

/**
 * Listens for administration requests.
 *
 * @param endpoint - address and port
 * @param loadHandler - called at the first request. A host that serves no operator does not load the
 *   web framework, which takes a fifth of the processor time of a start
 * @param onFailure - called with the problem of a request that could not be answered
 * @returns the listener, or BL1004 if the address cannot be bound
 */
export function listenAdmin(
  endpoint: Endpoint,
  loadHandler: () => Promise<HandleAdminRequest>,
  onFailure: (problem: string) => void,
): ResultAsync<AdminListener, Failure> {
  let loading: Promise<HandleAdminRequest> | undefined;
  const server = createServer((request, response) => {
    loading ??= loadHandler();
    loading
      .then((handle) => handle(request, response))
      .catch((error: unknown) => {
        onFailure(String(error));
        response.destroy();
      });
  });
  return listen(server, endpoint).map(() => ({ close: () => closeServer(server) }));
}
