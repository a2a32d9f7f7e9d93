import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import {
  backendReportAgesSchema,
  routingPollSchema,
  type BackendReportAges,
  type RoutingUpdate,
  type RoutingPoll,
} from './routingPollSchema.js';

/** What control hosts answer about routing and backend servers. */
export interface RoutingHandlers {
  readonly poll: (poll: RoutingPoll) => Promise<RoutingUpdate>;
  readonly heard: (ages: BackendReportAges) => void;
}

/**
 * Builds the procedures of routing.
 *
 * @param handlers - functions that answer
 */
export function createRoutingRouter(handlers: RoutingHandlers) {
  return rpcRouter({
    poll: rpcProcedure.input(routingPollSchema).query(({ input }) => handlers.poll(input)),
    heard: rpcProcedure
      .input(backendReportAgesSchema)
      .mutation(({ input }) => handlers.heard(input)),
  });
}
