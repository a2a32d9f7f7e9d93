import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import {
  behindQuerySchema,
  pollSchema,
  versionReportsSchema,
  type Poll,
  type PollReply,
  type VersionReport,
} from './documentsSchema.js';

/** Handlers of the `documents` procedures. */
export interface DocumentsHandlers {
  /** Returns what the polling host lacks. */
  readonly poll: (fromHostId: string, poll: Poll) => Promise<PollReply>;
  /** Records reports of the versions that hosts have in force. */
  readonly report: (fromHostId: string, reports: readonly VersionReport[]) => void;
  /** Returns the ids of the hosts that have not confirmed a version. */
  readonly behind: (version: number) => readonly string[];
}

/** Procedures that distribute the document and the shift steps. */
export function createDocumentsRouter(handlers: DocumentsHandlers) {
  return rpcRouter({
    poll: rpcProcedure
      .input(pollSchema)
      .mutation(({ ctx, input }) => handlers.poll(ctx.fromHostId, input)),
    report: rpcProcedure
      .input(versionReportsSchema)
      .mutation(({ ctx, input }) => handlers.report(ctx.fromHostId, input)),
    behind: rpcProcedure
      .input(behindQuerySchema)
      .query(({ input }) => handlers.behind(input.version)),
  });
}
