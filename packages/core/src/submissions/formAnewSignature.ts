import type { Teams } from '@buckthornlug/protocol/document/documentTypes.js';
import type { FormAnewBody, FormAnewRequest } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { isSignatureOf, signatureOf } from './signedBody.js';
import { checkSignature } from './submissionChecks.js';
import type { SubmissionAuthority } from './submissionTypes.js';

/** Who may give up the state of a group. */

/** Pattern of a team that owns every section. */
const everySection = '*';

/**
 * Signs a request to form a group anew.
 *
 * @param body - request without signature
 * @param secret - secret of the key named in the body
 */
export function signFormAnew(body: FormAnewBody, secret: string): FormAnewRequest {
  return { ...body, signature: signatureOf(body, secret) };
}

/** Tells whether a request is signed with a secret. */
export function isFormAnewSignedWith(request: FormAnewRequest, secret: string): boolean {
  const { signature, ...body } = request;
  return isSignatureOf(body, signature, secret);
}

/**
 * Checks that a team that owns every section has signed the request.
 *
 * @param teams - teams of the accepted document; undefined before the first one
 * @param request - request
 * @param authority - whether a cluster key has signed; taken only where there are no teams
 * @returns BL2006 without a valid signature, BL2004 where the team doesn't own every section
 */
export function checkFormAnew(
  teams: Teams | undefined,
  request: FormAnewRequest,
  authority: SubmissionAuthority,
): Result<void, Failure> {
  if (teams === undefined) {
    if (authority === 'cluster') return ok(undefined);
    return err(failure('BL2006', 'without a document the request is signed with a cluster key'));
  }
  const isSigned = (secret: string) => isFormAnewSignedWith(request, secret);
  return checkSignature(teams, request, isSigned).andThen((team) => {
    if (team.sections.includes(everySection)) return ok(undefined);
    return err(failure('BL2004', `team "${team.id}" does not own every section`));
  });
}
