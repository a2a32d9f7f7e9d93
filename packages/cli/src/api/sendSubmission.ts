import { setTimeout as delay } from 'node:timers/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import {
  submissionReplySchema,
  versionStatusSchema,
  type Submission,
  type SubmissionReply,
  type VersionStatus,
} from '@buckthornlug/protocol/submissions/submissionSchema.js';
import { err, ok, type Result } from 'neverthrow';

import type { AdminClient } from './adminClient.js';
import { postUntilOutcomeKnown } from './postUntilOutcomeKnown.js';

const pollDelayMs = 200;

/**
 * Sends a submission, and resends it while its outcome is unknown; a resend gets the answer to the
 * first request.
 *
 * @param client - administration client
 * @param submission - signed submission
 */
export async function sendSubmission(
  client: AdminClient,
  submission: Submission,
): Promise<Result<SubmissionReply, Failure>> {
  const answer = await postUntilOutcomeKnown(client, '/v1/submissions', submission);
  return answer.map((reply) => submissionReplySchema.parse(reply));
}

/**
 * Waits until a version is in force on every live host.
 *
 * @param client - administration client
 * @param version - accepted version
 * @param waitMs - longest wait
 * @returns the status, or BL2009 with the hosts that are behind
 */
export async function waitUntilInForce(
  client: AdminClient,
  version: number,
  waitMs: number,
): Promise<Result<VersionStatus, Failure>> {
  const deadlineMs = performance.now() + waitMs;
  for (;;) {
    const answer = await client.get(`/v1/versions/${version}`);
    if (answer.isOk()) {
      const status = versionStatusSchema.parse(answer.value);
      if (status.inForce) return ok(status);
      if (performance.now() >= deadlineMs) {
        const hosts = status.behindHosts.map((host) => `${host.hostId}@${host.documentVersion}`);
        return err(failure('BL2009', `not confirmed by ${hosts.join(', ')}`));
      }
    } else if (performance.now() >= deadlineMs) return err(answer.error);
    await delay(pollDelayMs);
  }
}
