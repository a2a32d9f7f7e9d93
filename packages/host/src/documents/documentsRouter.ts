import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { pollSchema, type Poll, type PollReply } from './documentsSchema.js';

/** Handlers of the `documents` procedures. */
export interface DocumentsHandlers {
  /** Answers with what the asking host lacks. */
  readonly poll: (fromHostId: string, poll: Poll) => Promise<PollReply>;
}

/** Procedures that spread the document and the steps of shifts. */
export function createDocumentsRouter(handlers: DocumentsHandlers) {
  return rpcRouter({
    poll: rpcProcedure
      .input(pollSchema)
      .mutation(({ ctx, input }) => handlers.poll(ctx.fromHostId, input)),
  });
}
