import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import {
  heardBackendsSchema,
  routingPollSchema,
  type HeardBackends,
  type RoutingNews,
  type RoutingPoll,
} from './routingPollSchema.js';

/** What control hosts answer about routing and backend servers. */
export interface RoutingHandlers {
  readonly poll: (poll: RoutingPoll) => Promise<RoutingNews>;
  readonly heard: (heard: HeardBackends) => void;
}

/**
 * Builds the procedures of routing.
 *
 * @param handlers - functions that answer
 */
export function createRoutingRouter(handlers: RoutingHandlers) {
  return rpcRouter({
    poll: rpcProcedure.input(routingPollSchema).query(({ input }) => handlers.poll(input)),
    heard: rpcProcedure.input(heardBackendsSchema).mutation(({ input }) => handlers.heard(input)),
  });
}
