import { createHash } from 'node:crypto';

import type {
  Submission,
  SubmissionBody,
} from '@buckthornlug/protocol/submissions/submissionSchema.js';

import { canonicalJson } from './canonicalJson.js';
import { isBodySignedWith, signBody } from './signedBody.js';

/** Checks whether a submission is signed with a secret. */
export type VerifySubmission = (submission: Submission, secret: string) => boolean;

/** Returns the signed fields of a submission, without the signature. */
export function withoutSignature(submission: Submission): SubmissionBody {
  const { submissionId, team, keyId, baseVersions, sections } = submission;
  return { submissionId, team, keyId, baseVersions, sections };
}

/**
 * Signs a submission: HMAC-SHA256 over the canonical JSON of the body, in base64url.
 *
 * @param secret - secret of the key named in the body
 */
export function signSubmission(body: SubmissionBody, secret: string): Submission {
  return { ...body, signature: signBody(body, secret) };
}

/** Checks the signature. The duration does not depend on where the signatures differ. */
export const verifySubmission: VerifySubmission = (submission, secret) =>
  isBodySignedWith(withoutSignature(submission), submission.signature, secret);

/** Computes the digest of a submission without its signature, in base64url. */
export function digestSubmission(submission: Submission): string {
  return createHash('sha256')
    .update(canonicalJson(withoutSignature(submission)))
    .digest('base64url');
}
