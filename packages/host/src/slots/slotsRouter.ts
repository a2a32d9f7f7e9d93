import type { BackendStatus } from '@buckthornlug/protocol/admin/adminSchema.js';
import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { creditRequestSchema, type CreditGrant, type CreditRequest } from './slotsSchema.js';

/** What the slots answer to other hosts. */
export interface SlotsHandlers {
  readonly credits: (request: CreditRequest) => CreditGrant;
  /** Backend servers as this host sees them. */
  readonly backends: () => BackendStatus[];
}

/**
 * Builds the procedures of the slots.
 *
 * @param handlers - functions that answer
 */
export function createSlotsRouter(handlers: SlotsHandlers) {
  return rpcRouter({
    credits: rpcProcedure
      .input(creditRequestSchema)
      .mutation(({ input }) => handlers.credits(input)),
    backends: rpcProcedure.query(() => handlers.backends()),
  });
}
