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

/** Who vouches for a submission: its team, or a cluster key on the first one of all. */
export type SubmissionAuthority = 'team' | 'cluster';

/** Command of the control group that submits changed sections. */
export interface SubmissionCommand {
  readonly type: 'submission';
  readonly submission: Submission;
  readonly authority: SubmissionAuthority;
}

/** Answer to a submission; a resend gets the same one. */
export type SubmissionOutcome =
  | { readonly accepted: true; readonly reply: SubmissionReply }
  | { readonly accepted: false; readonly failure: Failure };

/** An answer that is kept for resends. */
export interface RecordedOutcome {
  readonly submissionId: string;
  readonly digest: string;
  readonly outcome: SubmissionOutcome;
}

/** Whole state of the documents. */
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
