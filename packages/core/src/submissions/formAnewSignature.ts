import type { Teams } from '@buckthornlug/protocol/document/documentTypes.js';
import type { FormAnewBody, FormAnewRequest } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { isBodySignedWith, signBody } from './signedBody.js';
import { checkSignature } from './submissionChecks.js';
import type { SubmissionAuthority } from './submissionTypes.js';

/** Authorization of requests to form a group without its former state. */

/** Section pattern of a team that owns every section. */
const everySectionPattern = '*';

/**
 * Signs a request to form a group without its former state.
 *
 * @param secret - secret of the key named in the body
 */
export function signFormAnewRequest(body: FormAnewBody, secret: string): FormAnewRequest {
  return { ...body, signature: signBody(body, secret) };
}

/** Checks whether a request is signed with a secret. */
export function isFormAnewRequestSignedWith(request: FormAnewRequest, secret: string): boolean {
  const { signature, ...body } = request;
  return isBodySignedWith(body, signature, secret);
}

/**
 * Checks that the request is signed by a team that owns every section.
 *
 * @param teams - teams of the accepted document; undefined before the first document
 * @param authority - `cluster` is accepted only before the first document
 * @returns BL2006 without a valid signature, BL2004 if the team does not own every section
 */
export function checkFormAnewRequest(
  teams: Teams | undefined,
  request: FormAnewRequest,
  authority: SubmissionAuthority,
): Result<void, Failure> {
  if (teams === undefined) {
    if (authority === 'cluster') return ok(undefined);
    return err(
      failure('BL2006', 'before the first document, the request must be signed with a cluster key'),
    );
  }
  const isSignedWith = (secret: string) => isFormAnewRequestSignedWith(request, secret);
  return checkSignature(teams, request, isSignedWith).andThen((team) => {
    if (team.sections.includes(everySectionPattern)) return ok(undefined);
    return err(failure('BL2004', `team "${team.id}" does not own every section`));
  });
}
