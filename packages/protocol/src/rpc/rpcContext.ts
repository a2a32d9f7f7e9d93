import { initTRPC } from '@trpc/server';

/** Context of a remote procedure call between hosts. */
export interface RpcContext {
  /** Host that sent the request, authenticated by its key. */
  readonly fromHostId: string;
}

const trpc = initTRPC.context<RpcContext>().create();

/** Builders for routers and procedures between hosts. */
export const { router: rpcRouter, procedure: rpcProcedure } = trpc;
