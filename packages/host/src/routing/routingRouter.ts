import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import {
  demandReportSchema,
  type DemandReply,
  type DemandReport,
} from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import {
  backendReportAgesSchema,
  leavingBackendSchema,
  routingPollSchema,
  type BackendReportAges,
  type LeavingBackend,
  type RoutingUpdate,
  type RoutingPoll,
} from './routingPollSchema.js';

/** Handlers of control hosts for polls and for what other hosts report of backend servers. */
export interface RoutingHandlers {
  /** @param takesChanges - whether the polling host takes changes in place of a document */
  readonly poll: (poll: RoutingPoll, takesChanges: boolean) => Promise<RoutingUpdate>;
  readonly heard: (ages: BackendReportAges) => void;
  readonly leaving: (backend: LeavingBackend) => Promise<void>;
  readonly demand: (report: DemandReport) => DemandReply;
}

/** Builds the routing procedures. */
export function createRoutingRouter(handlers: RoutingHandlers) {
  return rpcRouter({
    /** Polls of hosts of an earlier version, which take whole documents only. */
    poll: rpcProcedure.input(routingPollSchema).query(({ input }) => handlers.poll(input, false)),
    pollChanges: rpcProcedure
      .input(routingPollSchema)
      .query(({ input }) => handlers.poll(input, true)),
    heard: rpcProcedure
      .input(backendReportAgesSchema)
      .mutation(({ input }) => handlers.heard(input)),
    leaving: rpcProcedure
      .input(leavingBackendSchema)
      .mutation(({ input }) => handlers.leaving(input)),
    demand: rpcProcedure.input(demandReportSchema).mutation(({ input }) => handlers.demand(input)),
  });
}
