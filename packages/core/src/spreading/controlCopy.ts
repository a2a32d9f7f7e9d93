import type {
  SectionName,
  SteeringDocument,
  VersionedSection,
} from '@buckthornlug/protocol/document/documentTypes.js';
import { joinSections } from '@buckthornlug/protocol/document/sections.js';
import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

import { ShiftTable } from '../shifts/shiftTable.js';
import type { ApplyOutcome, ControlUpdate, ControlVersions } from './spreadingTypes.js';

/**
 * Copy of the control group's committed state: the document as versioned sections, and the shift
 * steps. Neither goes back to an earlier version.
 */
export class ControlCopy {
  private version = 0;

  private readonly sections = new Map<SectionName, VersionedSection>();

  /** @param shifts - table to which the shift steps are applied */
  constructor(readonly shifts = new ShiftTable()) {}

  versions(): ControlVersions {
    return { version: this.version, shiftRevision: this.shifts.revision };
  }

  /** Whether a host with the given versions lacks something. */
  isNewerThan(held: ControlVersions): boolean {
    return this.version > held.version || this.shifts.revision > held.shiftRevision;
  }

  /** Everything that a host with the given versions lacks. */
  updateSince(held: ControlVersions): ControlUpdate {
    const sections = [...this.sections.values()].filter(
      (section) => section.version > held.version,
    );
    return {
      ...this.versions(),
      sinceVersion: held.version,
      sections,
      shiftSteps: this.shifts.stepsSince(held.shiftRevision),
    };
  }

  /** Applies an update; sections and steps that are not newer change nothing. */
  apply(update: ControlUpdate): ApplyOutcome {
    const newSteps = this.applySteps(update.shiftSteps);
    const isNewer = update.version > this.version;
    const needsFullUpdate = isNewer && update.sinceVersion > this.version;
    if (!isNewer || needsFullUpdate) {
      return { changedSections: [], isDocumentChanged: false, newSteps, needsFullUpdate };
    }
    const changedSections = this.replaceSections(update);
    this.version = update.version;
    return { changedSections, isDocumentChanged: true, newSteps, needsFullUpdate: false };
  }

  /** Assembles the document; unchanged sections stay the same objects. */
  document(): SteeringDocument {
    const present = new Map<SectionName, unknown>();
    for (const [name, section] of this.sections) {
      if (section.content !== null) present.set(name, section.content);
    }
    return joinSections(present) as unknown as SteeringDocument;
  }

  /** Version in which each section last changed. */
  sectionVersions(): Record<SectionName, number> {
    const versions: Record<SectionName, number> = {};
    for (const [name, section] of this.sections) {
      if (section.content !== null) versions[name] = section.version;
    }
    return versions;
  }

  private applySteps(steps: readonly CommittedStep[]): CommittedStep[] {
    const inOrder = [...steps].sort((left, right) => left.revision - right.revision);
    return inOrder.filter((step) => this.shifts.applyCommitted(step));
  }

  private replaceSections(update: ControlUpdate): SectionName[] {
    const changed: SectionName[] = [];
    for (const section of update.sections) {
      const known = this.sections.get(section.name);
      if (known !== undefined && known.version >= section.version) continue;
      this.sections.set(section.name, section);
      changed.push(section.name);
    }
    if (update.sinceVersion === 0) changed.push(...this.dropUnlisted(update));
    return changed;
  }

  /** Drops sections that a complete list does not contain. */
  private dropUnlisted(update: ControlUpdate): SectionName[] {
    const listed = new Set(update.sections.map((section) => section.name));
    const unlisted = [...this.sections.keys()].filter((name) => !listed.has(name));
    for (const name of unlisted) this.sections.delete(name);
    return unlisted;
  }
}
