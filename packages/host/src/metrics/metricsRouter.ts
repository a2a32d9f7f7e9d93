import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import type { HostMetrics } from './metricsSchema.js';

/** Handlers of the metrics procedures that other hosts call. */
export interface MetricsHandlers {
  readonly read: () => HostMetrics;
}

/** Creates the router of the metrics procedures. */
export function createMetricsRouter(handlers: MetricsHandlers) {
  return rpcRouter({ read: rpcProcedure.query(() => handlers.read()) });
}
