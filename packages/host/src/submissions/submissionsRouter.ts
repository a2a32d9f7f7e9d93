import type {
  AcceptedDocument,
  SubmissionOutcome,
} from '@buckthornlug/core/submissions/submissionTypes.js';
import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { z } from 'zod';

/** Read request of a host to a member of the control group. */
export const controlReadSchema = z.strictObject({
  /** Submission whose outcome is read; the document is read if absent. */
  submissionId: z.string().optional(),
  timeoutMs: z.number().positive(),
});

export type ControlRead = z.infer<typeof controlReadSchema>;

/** Result of a read on a member that had applied everything committed. */
export type ControlReadReply =
  | { readonly ok: false; readonly failure: Failure }
  | {
      readonly ok: true;
      readonly document?: AcceptedDocument | undefined;
      readonly outcome?: SubmissionOutcome | undefined;
    };

/** Handlers of the `submissions` procedures. */
export interface SubmissionsHandlers {
  readonly read: (request: ControlRead) => Promise<ControlReadReply>;
}

/** Procedures that read the control group's state. */
export function createSubmissionsRouter(handlers: SubmissionsHandlers) {
  return rpcRouter({
    read: rpcProcedure.input(controlReadSchema).query(({ input }) => handlers.read(input)),
  });
}
