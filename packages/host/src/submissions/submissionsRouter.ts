import type {
  AcceptedDocument,
  SubmissionOutcome,
} from '@buckthornlug/core/submissions/submissionTypes.js';
import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { z } from 'zod';

/** Requests of a host for what a member of the control group holds. */
export const controlReadSchema = z.strictObject({
  /** Submission whose answer is asked for, or the document where absent. */
  submissionId: z.string().optional(),
  timeoutMs: z.number().positive(),
});

export type ControlRead = z.infer<typeof controlReadSchema>;

/** What a member read after it caught up with everything committed. */
export type ControlReadReply =
  | { readonly ok: false; readonly failure: Failure }
  | {
      readonly ok: true;
      readonly document?: AcceptedDocument | undefined;
      readonly outcome?: SubmissionOutcome | undefined;
    };

/** What the submissions answer to other hosts. */
export interface SubmissionsHandlers {
  readonly read: (request: ControlRead) => Promise<ControlReadReply>;
}

/**
 * Builds the procedures of submissions.
 *
 * @param handlers - functions that answer
 */
export function createSubmissionsRouter(handlers: SubmissionsHandlers) {
  return rpcRouter({
    read: rpcProcedure.input(controlReadSchema).query(({ input }) => handlers.read(input)),
  });
}
