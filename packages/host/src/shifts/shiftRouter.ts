import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import {
  shiftExchangeSchema,
  type ShiftExchange,
  type ShiftExchangeReply,
} from './shiftExchangeSchema.js';

/** What the shifts answer to other hosts. */
export interface ShiftHandlers {
  readonly exchange: (fromHostId: string, request: ShiftExchange) => ShiftExchangeReply;
}

/**
 * Builds the procedures of the shifts.
 *
 * @param handlers - functions that answer
 */
export function createShiftRouter(handlers: ShiftHandlers) {
  return rpcRouter({
    exchange: rpcProcedure
      .input(shiftExchangeSchema)
      .query(({ ctx, input }) => handlers.exchange(ctx.fromHostId, input)),
  });
}
