import type {
  SectionName,
  VersionedSection,
} from '@buckthornlug/protocol/document/documentTypes.js';
import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/** How far a host has come with what the control group has committed. */
export interface ControlVersions {
  /** Version of the document. */
  readonly version: number;
  /** Revision of the steps of shifts. */
  readonly shiftRevision: number;
}

/** What a host lacks: changed sections of the document and steps of shifts. */
export interface ControlUpdate extends ControlVersions {
  /** Version of the document that the sections start from; 0 where all sections are listed. */
  readonly sinceVersion: number;
  /** Sections changed after `sinceVersion`; content null where a section was removed. */
  readonly sections: readonly VersionedSection[];
  /** Steps after the revision that the host held. */
  readonly shiftSteps: readonly CommittedStep[];
}

/** Sections by name, removed ones included. */
export type VersionedSections = ReadonlyMap<SectionName, VersionedSection>;

/** What came of an update. */
export interface ApplyOutcome {
  /** Names of sections that changed; empty where the document is as before. */
  readonly changedSections: readonly SectionName[];
  /** Whether the document has a newer version. */
  readonly isDocumentChanged: boolean;
  /** Steps that are newer than the ones held. */
  readonly newSteps: readonly CommittedStep[];
  /** Whether the update started from a version that is not held, so that everything is needed. */
  readonly needsFullUpdate: boolean;
}
