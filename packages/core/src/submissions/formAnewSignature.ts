import type { Teams } from '@buckthornlug/protocol/document/documentTypes.js';
import type { FormAnewBody, FormAnewRequest } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { isBodySignedWith, signBody } from './signedBody.js';
import { checkSignature } from './submissionChecks.js';
import type { SubmissionAuthority } from './submissionTypes.js';

/** Who may give up the state of a group. */

/** Pattern of a team that owns every section. */
const everySectionPattern = '*';

/**
 * Signs a request to form a group anew.
 *
 * @param body - request without signature
 * @param secret - secret of the key named in the body
 */
export function signFormAnewRequest(body: FormAnewBody, secret: string): FormAnewRequest {
  return { ...body, signature: signBody(body, secret) };
}

/** Tells whether a request is signed with a secret. */
export function isFormAnewRequestSignedWith(request: FormAnewRequest, secret: string): boolean {
  const { signature, ...body } = request;
  return isBodySignedWith(body, signature, secret);
}

/**
 * Checks that a team that owns every section has signed the request.
 *
 * @param teams - teams of the accepted document; undefined before the first one
 * @param request - request
 * @param authority - whether a cluster key has signed; taken only where there are no teams
 * @returns BL2006 without a valid signature, BL2004 where the team doesn't own every section
 */
export function checkFormAnewRequest(
  teams: Teams | undefined,
  request: FormAnewRequest,
  authority: SubmissionAuthority,
): Result<void, Failure> {
  if (teams === undefined) {
    if (authority === 'cluster') return ok(undefined);
    return err(failure('BL2006', 'without a document the request is signed with a cluster key'));
  }
  const isSignedWith = (secret: string) => isFormAnewRequestSignedWith(request, secret);
  return checkSignature(teams, request, isSignedWith).andThen((team) => {
    if (team.sections.includes(everySectionPattern)) return ok(undefined);
    return err(failure('BL2004', `team "${team.id}" does not own every section`));
  });
}
