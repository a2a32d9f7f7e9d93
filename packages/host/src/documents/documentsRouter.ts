import type { ControlUpdate } from '@buckthornlug/core/spreading/spreadingTypes.js';
import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { pollSchema, type Poll } from './documentsSchema.js';

/** Handlers of the `documents` procedures. */
export interface DocumentsHandlers {
  /** Answers with what the asking host lacks; null where it lacks nothing. */
  readonly poll: (fromHostId: string, poll: Poll) => Promise<ControlUpdate | null>;
}

/** Procedures that spread the document and the steps of shifts. */
export function createDocumentsRouter(handlers: DocumentsHandlers) {
  return rpcRouter({
    poll: rpcProcedure
      .input(pollSchema)
      .mutation(({ ctx, input }) => handlers.poll(ctx.fromHostId, input)),
  });
}
