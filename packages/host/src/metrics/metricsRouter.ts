import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import type { MetricsPart } from './metricsSchema.js';

/** What the metrics answer to other hosts. */
export interface MetricsHandlers {
  readonly read: () => MetricsPart;
}

/**
 * Builds the procedures of the metrics.
 *
 * @param handlers - functions that answer
 */
export function createMetricsRouter(handlers: MetricsHandlers) {
  return rpcRouter({ read: rpcProcedure.query(() => handlers.read()) });
}
