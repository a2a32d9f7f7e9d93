import { verifySubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import type { SubmissionCommand } from '@buckthornlug/core/submissions/submissionTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { SecretKey } from '@buckthornlug/protocol/settings/settingsSchema.js';
import type {
  Submission,
  SubmissionReply,
} from '@buckthornlug/protocol/submissions/submissionSchema.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup } from './controlGroup.js';
import { retryUntilOutcomeKnown } from './operatorCommand.js';

/** Commits submissions. A submission may be sent again, since its id makes it idempotent. */

/** Creates the command; its authority is `cluster` if a cluster key signed the submission. */
function createCommand(
  submission: Submission,
  clusterKeys: readonly SecretKey[],
): SubmissionCommand {
  const key = clusterKeys.find(({ id }) => id === submission.keyId);
  const isSignedByCluster = key !== undefined && verifySubmission(submission, key.secret);
  return { type: 'submission', submission, authority: isSignedByCluster ? 'cluster' : 'team' };
}

function reportOutcome(
  context: HostContext,
  submission: Submission,
  result: Result<SubmissionReply, Failure>,
): void {
  const { submissionId, team } = submission;
  if (result.isOk()) {
    const { version } = result.value;
    context.log.info('submissionAccepted', { submissionId, team, version });
    context.record({ kind: 'submissionAccepted', version, detail: { submissionId, team } });
    return;
  }
  const { code } = result.error;
  context.log.info('submissionRefused', { submissionId, team, code });
  context.record({ kind: 'submissionRefused', code, detail: { submissionId, team } });
}

async function commit(
  context: HostContext,
  control: ControlGroup,
  submission: Submission,
): Promise<Result<SubmissionReply, Failure>> {
  const command = createCommand(submission, context.settings.clusterKeys);
  const answer = await retryUntilOutcomeKnown(
    context.clock,
    (timeoutMs) => control.submit(command, timeoutMs),
    failure('BL2008', 'the control group did not confirm in time'),
  );
  return answer.andThen((outcome) => (outcome.accepted ? ok(outcome.reply) : err(outcome.failure)));
}

/**
 * Commits a submission.
 *
 * @param submission - submission with a valid form
 * @returns the accepted version, the failure of the submission, or BL2008 if its outcome is unknown
 */
export function commitSubmission(
  context: HostContext,
  control: ControlGroup,
  submission: Submission,
): ResultAsync<SubmissionReply, Failure> {
  const committed = commit(context, control, submission).then((result) => {
    reportOutcome(context, submission, result);
    return result;
  });
  return new ResultAsync(committed);
}
