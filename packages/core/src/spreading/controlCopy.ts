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
 * A copy of what the control group has committed: the document as versioned sections, and the steps
 * of shifts. Neither ever goes back to an earlier version.
 */
export class ControlCopy {
  private version = 0;

  private readonly sections = new Map<SectionName, VersionedSection>();

  /** @param shifts - table that takes the steps */
  constructor(readonly shifts = new ShiftTable()) {}

  versions(): ControlVersions {
    return { version: this.version, shiftRevision: this.shifts.revision };
  }

  /** Whether a host that has come as far as stated lacks something. */
  isNewerThan(held: ControlVersions): boolean {
    return this.version > held.version || this.shifts.revision > held.shiftRevision;
  }

  /** Everything that a host lacks. */
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

  /** Takes over an update; older versions change nothing. */
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

  /** The document; unchanged sections are the same objects as before. */
  document(): SteeringDocument {
    const present = new Map<SectionName, unknown>();
    for (const [name, section] of this.sections) {
      if (section.content !== null) present.set(name, section.content);
    }
    return joinSections(present) as unknown as SteeringDocument;
  }

  /** Version that last changed each section. */
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

  /** Drops sections that a complete list does not hold. */
  private dropUnlisted(update: ControlUpdate): SectionName[] {
    const listed = new Set(update.sections.map((section) => section.name));
    const unlisted = [...this.sections.keys()].filter((name) => !listed.has(name));
    for (const name of unlisted) this.sections.delete(name);
    return unlisted;
  }
}
