import type { MemberMessage } from '@buckthornlug/core/membership/membershipTypes.js';
import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { memberMessageSchema } from './membershipSchema.js';

/** Handlers of the `membership` procedures. */
export interface MembershipHandlers {
  /** Handles a message; returns the messages for its sender. */
  readonly deliver: (fromHostId: string, message: MemberMessage) => readonly MemberMessage[];
}

/** Procedures that deliver messages of the membership. */
export function createMembershipRouter(handlers: MembershipHandlers) {
  return rpcRouter({
    deliver: rpcProcedure
      .input(memberMessageSchema)
      .mutation(({ ctx, input }) => handlers.deliver(ctx.fromHostId, input)),
  });
}
