import { changedSections } from '@buckthornlug/core/changes/changes.js';
import { signSubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';

/** Identity of a submission, with the team and the key that sign it. */
export interface Submitter {
  readonly submissionId: string;
  readonly team: string;
  readonly keyId: string;
  readonly secret: string;
}

/**
 * Builds a signed submission of the sections that differ. Base versions come from the edited
 * document, so that concurrent changes by others are detected.
 *
 * @param current - document in force; undefined before the first one
 * @param edited - edited document
 * @param submitter - team, key and identity of the submission
 */
export function buildSubmission(
  current: SteeringDocument | undefined,
  edited: SteeringDocument,
  submitter: Submitter,
): Submission {
  const sections = splitSections(edited);
  const names =
    current === undefined
      ? [...sections.keys()]
      : changedSections(current, edited).map((change) => change.section);
  const base = edited.base ?? current?.base;
  return signSubmission(
    {
      submissionId: submitter.submissionId,
      team: submitter.team,
      keyId: submitter.keyId,
      baseVersions: Object.fromEntries(names.map((name) => [name, base?.sections[name] ?? 0])),
      sections: Object.fromEntries(names.map((name) => [name, sections.get(name) ?? null])),
    },
    submitter.secret,
  );
}
