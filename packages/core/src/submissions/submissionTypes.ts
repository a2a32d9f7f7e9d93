import type {
  SteeringDocument,
  VersionedSection,
} from '@buckthornlug/protocol/document/documentTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  Submission,
  SubmissionReply,
} from '@buckthornlug/protocol/submissions/submissionSchema.js';

import type { RetiredService } from './retiredServices.js';

/** Owner of the signing key: a team, or the cluster, accepted only before the first document. */
export type SubmissionAuthority = 'team' | 'cluster';

/** Command that submits changed sections of the document. */
export interface SubmissionCommand {
  readonly type: 'submission';
  readonly submission: Submission;
  readonly authority: SubmissionAuthority;
}

/** Outcome of a submission. A resend gets the same one; a failed authorization is not recorded. */
export type SubmissionOutcome =
  | { readonly accepted: true; readonly reply: SubmissionReply }
  | { readonly accepted: false; readonly failure: Failure };

/** Outcome of a submission that is recorded for resends. */
export interface RecordedOutcome {
  readonly submissionId: string;
  /** Digest of the submission; another submission under the same id is refused. */
  readonly digest: string;
  readonly outcome: SubmissionOutcome;
}

/** Whole state of the document store. */
export interface DocumentsSnapshot {
  readonly version: number;
  readonly sections: readonly VersionedSection[];
  readonly answers: readonly RecordedOutcome[];
  /** Absent in snapshots of earlier releases. */
  readonly retired?: readonly RetiredService[];
}

/** The accepted document with its versions. */
export interface AcceptedDocument {
  readonly version: number;
  readonly sectionVersions: Readonly<Record<string, number>>;
  readonly document: SteeringDocument;
}
