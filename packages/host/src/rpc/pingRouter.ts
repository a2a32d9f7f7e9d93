import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

/** Handlers of the `ping` procedures. */
export interface PingHandlers {
  readonly ping: () => { readonly hostId: string; readonly incarnation: number };
}

/** Procedures that identify the process behind an address. */
export function createPingRouter(handlers: PingHandlers) {
  return rpcRouter({ ping: rpcProcedure.query(() => handlers.ping()) });
}
