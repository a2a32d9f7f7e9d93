import type { BackendStatus } from '@buckthornlug/protocol/admin/adminSchema.js';
import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { creditRequestSchema, type CreditGrant, type CreditRequest } from './slotsSchema.js';

/** Handlers of the slot procedures that other hosts call. */
export interface SlotsHandlers {
  readonly credits: (request: CreditRequest) => CreditGrant;
  /** Backend servers in the pools of this host. */
  readonly backends: () => BackendStatus[];
}

/** Builds the router of the slot procedures. */
export function createSlotsRouter(handlers: SlotsHandlers) {
  return rpcRouter({
    credits: rpcProcedure
      .input(creditRequestSchema)
      .mutation(({ input }) => handlers.credits(input)),
    backends: rpcProcedure.query(() => handlers.backends()),
  });
}
