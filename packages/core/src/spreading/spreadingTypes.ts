import type {
  SectionName,
  VersionedSection,
} from '@buckthornlug/protocol/document/documentTypes.js';
import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/** Versions of the control group's committed state that a host holds. */
export interface ControlVersions {
  /** Version of the document. */
  readonly version: number;
  /** Revision of the shift steps. */
  readonly shiftRevision: number;
}

/** Update of a host: the changed sections of the document and the shift steps that it lacks. */
export interface ControlUpdate extends ControlVersions {
  /** Document version that the update builds on; 0 if all sections are listed. */
  readonly sinceVersion: number;
  /** Sections changed after `sinceVersion`; `content` is null if a section was removed. */
  readonly sections: readonly VersionedSection[];
  /** Steps after the revision that the host holds. */
  readonly shiftSteps: readonly CommittedStep[];
}

/** Sections by name, including removed ones. */
export type VersionedSections = ReadonlyMap<SectionName, VersionedSection>;

/** Result of applying an update. */
export interface ApplyOutcome {
  /** Names of changed sections; empty if the document is unchanged. */
  readonly changedSections: readonly SectionName[];
  /** Whether the document has a newer version. */
  readonly isDocumentChanged: boolean;
  /** Shift steps that were newer than the ones held. */
  readonly newSteps: readonly CommittedStep[];
  /** Whether the update builds on a version later than the held one, so a full one is needed. */
  readonly needsFullUpdate: boolean;
}
