import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type {
  SectionName,
  SteeringDocument,
  Teams,
} from '@buckthornlug/protocol/document/documentTypes.js';
import {
  coversSection,
  joinSections,
  sectionSchema,
} from '@buckthornlug/protocol/document/sections.js';
import { failure, type Failure, type Fault } from '@buckthornlug/protocol/results/failure.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import { err, ok, type Result } from 'neverthrow';

import { findLedgerMoveFaults } from '../ledger/ledgerMoveFaults.js';
import { checkChangedSections } from './changedSectionCheck.js';
import type { RetiredServices } from './retiredServices.js';
import { findMissingSecretFaults } from './teamSecrets.js';

/** Checks of a submission against the accepted document. Each check reports all its faults. */

/**
 * Checks the signature of an operator's request.
 *
 * @param teams - teams of the accepted document
 * @param request - team and key that the request names
 * @param isSignedWith - whether the request is signed with the given secret
 * @returns the team that signed; BL2006 without a valid signature
 */
export function checkSignature(
  teams: Teams,
  request: { readonly team: string; readonly keyId: string },
  isSignedWith: (secret: string) => boolean,
): Result<Teams[number], Failure> {
  const team = teams.find(({ id }) => id === request.team);
  const key = team?.keys.find(({ id }) => id === request.keyId);
  if (team === undefined || key?.secret === undefined || !isSignedWith(key.secret)) {
    return err(failure('BL2006', `no valid signature of team "${request.team}"`));
  }
  return ok(team);
}

/** Checks that the team owns every section that the submission changes. */
export function checkOwnership(team: Teams[number], submission: Submission): Result<void, Failure> {
  const faults: Fault[] = [];
  for (const name of Object.keys(submission.sections)) {
    if (team.sections.some((pattern) => coversSection(pattern, name))) continue;
    faults.push({ path: name, problem: `team "${team.id}" does not own the section` });
  }
  if (faults.length === 0) return ok(undefined);
  return err(failure('BL2004', 'the team does not own every section', { faults }));
}

/**
 * Checks that each changed section is based on its current version.
 *
 * @param version - version of the accepted document
 * @param versionOf - returns the current version of a section, or 0 if there is none
 */
export function checkBaseVersions(
  submission: Submission,
  version: number,
  versionOf: (name: SectionName) => number,
): Result<void, Failure> {
  const faults: Fault[] = [];
  for (const name of Object.keys(submission.sections)) {
    const base = submission.baseVersions[name];
    const current = versionOf(name);
    if (base === current) continue;
    const problem = `based on version ${base ?? 'none'}, current is ${current}`;
    faults.push({ path: name, problem });
  }
  if (faults.length === 0) return ok(undefined);
  return err(failure('BL2005', `the document is at version ${version}`, { faults }));
}

/** Checks that every key of a team has a secret. */
function checkSecrets(document: SteeringDocument): Result<SteeringDocument, Failure> {
  const faults = findMissingSecretFaults(document.teams);
  if (faults.length === 0) return ok(document);
  return err(failure('BL2002', 'the document is not valid', { faults }));
}

/** Checks that no identity of once-only work would move to another ledger group or key. */
function checkLedgerMoves(
  before: SteeringDocument,
  after: SteeringDocument,
  retired: RetiredServices,
): Result<void, Failure> {
  const faults = [...findLedgerMoveFaults(before, after), ...retired.faults(after)];
  if (faults.length === 0) return ok(undefined);
  return err(failure('BL2011', 'identities would move to another ledger', { faults }));
}

/**
 * Checks the document that results from a submission. If the check of the changed sections fails,
 * the whole document is checked to find every fault.
 *
 * @param contentsAfter - returns the sections of the document after the change
 * @param before - accepted document, if any
 * @returns the document with its defaults; BL2002, BL2003 or BL2011 with every fault
 */
export function checkDocumentAfter(
  submission: Submission,
  contentsAfter: () => ReadonlyMap<SectionName, unknown>,
  before: SteeringDocument | undefined,
  retired: RetiredServices,
): Result<SteeringDocument, Failure> {
  const faults: Fault[] = [];
  for (const name of Object.keys(submission.sections)) {
    if (sectionSchema(name) !== undefined) continue;
    faults.push({ path: name, problem: 'no such section can exist' });
  }
  if (faults.length > 0) return err(failure('BL2002', 'the document is not valid', { faults }));
  if (before === undefined)
    return checkDocument(joinSections(contentsAfter())).andThen(checkSecrets);
  const quickResult = checkChangedSections(submission.sections, before);
  const checked =
    quickResult === undefined ? checkDocument(joinSections(contentsAfter())) : ok(quickResult);
  return checked
    .andThen(checkSecrets)
    .andThen((document) => checkLedgerMoves(before, document, retired).map(() => document));
}
