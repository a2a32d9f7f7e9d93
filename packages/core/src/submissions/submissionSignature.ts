import { createHash } from 'node:crypto';

import type {
  Submission,
  SubmissionBody,
} from '@buckthornlug/protocol/submissions/submissionSchema.js';

import { canonicalJson } from './canonicalJson.js';
import { isBodySignedWith, signBody } from './signedBody.js';

/** Tells whether a submission is signed with a secret. */
export type VerifySubmission = (submission: Submission, secret: string) => boolean;

/** Removes the signature. */
export function withoutSignature(submission: Submission): SubmissionBody {
  const { submissionId, team, keyId, baseVersions, sections } = submission;
  return { submissionId, team, keyId, baseVersions, sections };
}

/**
 * Signs a submission: HMAC-SHA256 over the canonical JSON of the body, in base64url.
 *
 * @param body - submission without signature
 * @param secret - secret of the key named in the body
 */
export function signSubmission(body: SubmissionBody, secret: string): Submission {
  return { ...body, signature: signBody(body, secret) };
}

/** Compares in a time that does not depend on where the signatures differ. */
export const verifySubmission: VerifySubmission = (submission, secret) =>
  isBodySignedWith(withoutSignature(submission), submission.signature, secret);

/**
 * Digest of what a submission asks for.
 *
 * @param submission - submission; its signature does not count
 */
export function digestSubmission(submission: Submission): string {
  return createHash('sha256')
    .update(canonicalJson(withoutSignature(submission)))
    .digest('base64url');
}
