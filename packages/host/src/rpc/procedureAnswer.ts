import type { RpcContext } from '@buckthornlug/protocol/rpc/rpcContext.js';
import {
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  TRPCError,
} from '@trpc/server';
import { getHTTPStatusCodeFromError } from '@trpc/server/http';

import type { AppRouter } from './appRouter.js';

/** Procedure request as received. */
export interface ProcedureRequest {
  readonly method: string;
  /** Name of the procedure, prefixed by the names of its routers. */
  readonly path: string;
  /** Query of the URL, without its question mark. */
  readonly query: string;
  readonly body: string;
}

/** HTTP answer to a procedure request. */
export interface ProcedureAnswer {
  readonly status: number;
  readonly text: string;
}

function parseInput({ method, query, body }: ProcedureRequest): unknown {
  const text = method === 'POST' ? body : (new URLSearchParams(query).get('input') ?? '');
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new TRPCError({ code: 'PARSE_ERROR', message: 'the input is not JSON', cause });
  }
}

/**
 * Runs a procedure and encodes its answer in the format of trpc's own HTTP adapter. The adapter is
 * not used since it converts each request and answer to fetch objects, which costs more than the
 * procedure itself.
 */
export async function runProcedure(
  router: AppRouter,
  request: ProcedureRequest,
  context: RpcContext,
): Promise<ProcedureAnswer> {
  const { path } = request;
  const type = request.method === 'POST' ? 'mutation' : 'query';
  try {
    const data: unknown = await callTRPCProcedure({
      router,
      path,
      type,
      getRawInput: () => Promise.resolve(parseInput(request)),
      ctx: context,
      signal: undefined,
      batchIndex: 0,
    });
    return { status: 200, text: JSON.stringify({ result: { data } }) };
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    // The router's configuration determines error shapes; trpc exposes it only under this name.
    // eslint-disable-next-line no-underscore-dangle
    const { _config: config } = router._def;
    const shape = getTRPCErrorShape({
      config,
      error,
      type,
      path,
      input: undefined,
      ctx: context,
    });
    return {
      status: getHTTPStatusCodeFromError(error),
      text: JSON.stringify({ error: shape }),
    };
  }
}
