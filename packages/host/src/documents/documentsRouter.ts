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
  /** Answers with what the asking host lacks. */
  readonly poll: (fromHostId: string, poll: Poll) => Promise<PollReply>;
  /** Takes reports of versions that other hosts hold. */
  readonly report: (fromHostId: string, reports: readonly VersionReport[]) => void;
  /** Names the hosts that have not confirmed a version. */
  readonly behind: (version: number) => readonly string[];
}

/** Procedures that spread the document and the steps of shifts. */
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
