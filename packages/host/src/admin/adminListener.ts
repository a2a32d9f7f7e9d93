import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';
import { serve, type ServerType } from '@hono/node-server';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { errAsync, ResultAsync } from 'neverthrow';

import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { Log } from '../log/log.js';

/** Adds the routes of one feature to the administration API. */
export type RegisterRoutes = (app: Hono) => void;

/** A listening administration API. */
export interface AdminListener {
  readonly close: () => Promise<void>;
}

const maxAdminBodyBytes = 64 * 1024 * 1024;

/**
 * Builds the response of a failed administration request.
 *
 * @param problem - failure to report
 */
export function failureResponse(problem: Failure): Response {
  return Response.json({ failure: problem }, { status: resultCodes[problem.code].httpStatus });
}

/**
 * Builds the administration API from the routes of the features.
 *
 * @param registrars - each adds the routes of one feature
 * @param log - log of the process
 */
export function createAdminApp(registrars: readonly RegisterRoutes[], log: Log): Hono {
  const app = new Hono();
  app.use(bodyLimit({ maxSize: maxAdminBodyBytes }));
  app.onError((error) => {
    log.error('adminRequestFailed', { problem: error.message });
    return failureResponse(failure('BL3018', 'an internal error ended the administration request'));
  });
  for (const register of registrars) register(app);
  return app;
}

function closeServer(server: ServerType): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ('closeIdleConnections' in server) server.closeIdleConnections();
  });
}

/**
 * Listens for administration requests.
 *
 * @param endpoint - address and port
 * @param app - application that handles the requests
 * @returns the listener, or BL1004 if the address cannot be bound
 */
export function listenAdmin(endpoint: Endpoint, app: Hono): ResultAsync<AdminListener, Failure> {
  const listening = new Promise<AdminListener>((resolve, reject) => {
    const options = { fetch: app.fetch, hostname: endpoint.address, port: endpoint.port };
    const server = serve(options, () => resolve({ close: () => closeServer(server) }));
    server.once('error', reject);
  });
  return ResultAsync.fromPromise(listening, (error) =>
    failure('BL1004', `${endpoint.address}:${endpoint.port}: ${String(error)}`),
  ).orElse((problem) => errAsync(problem));
}
