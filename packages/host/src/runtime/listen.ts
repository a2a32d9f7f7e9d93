import type { Server } from 'node:http';

import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { ResultAsync } from 'neverthrow';

/**
 * Binds a server to its address.
 *
 * @param server - server that does not listen yet
 * @param endpoint - address and port
 * @returns BL1004 if the address cannot be bound
 */
export function listen(server: Server, endpoint: Endpoint): ResultAsync<void, Failure> {
  const listening = new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.address, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return ResultAsync.fromPromise(listening, (error) =>
    failure('BL1004', `${endpoint.address}:${endpoint.port}: ${(error as Error).message}`),
  );
}

/**
 * Stops listening and closes idle connections; resolves when the last connection has closed.
 */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
