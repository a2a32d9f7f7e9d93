import { initTRPC } from '@trpc/server';

/** What every procedure between hosts knows of its request. */
export interface RpcContext {
  /** Host that sent the request, proved by its key. */
  readonly fromHostId: string;
}

const trpc = initTRPC.context<RpcContext>().create();

/** Builds routers of procedures between hosts. */
export const { router: rpcRouter, procedure: rpcProcedure } = trpc;
