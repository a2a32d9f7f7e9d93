import { failure } from '@buckthornlug/protocol/results/failure.js';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';

import type { Log } from '../log/log.js';
import type { HandleAdminRequest, RegisterRoutes } from './adminListener.js';
import { failureResponse } from './adminResponses.js';

const maxAdminBodyBytes = 64 * 1024 * 1024;

/**
 * Builds the administration API from the routes of the features.
 *
 * @param registrars - each adds the routes of one feature
 * @param log - log of the process
 */
export function createAdminApp(
  registrars: readonly RegisterRoutes[],
  log: Log,
): HandleAdminRequest {
  const app = new Hono();
  app.use(bodyLimit({ maxSize: maxAdminBodyBytes }));
  app.onError((error) => {
    log.error('adminRequestFailed', { problem: error.message });
    return failureResponse(failure('BL3018', 'an internal error ended the administration request'));
  });
  for (const register of registrars) register(app);
  return getRequestListener(app.fetch);
}
