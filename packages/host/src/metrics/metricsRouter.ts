import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import type { MetricsPart } from './metricsSchema.js';

/** Handlers of the metrics procedures that other hosts call. */
export interface MetricsHandlers {
  readonly read: () => MetricsPart;
}

/** Creates the router of the metrics procedures. */
export function createMetricsRouter(handlers: MetricsHandlers) {
  return rpcRouter({ read: rpcProcedure.query(() => handlers.read()) });
}
