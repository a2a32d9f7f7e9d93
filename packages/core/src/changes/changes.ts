import { isDeepStrictEqual } from 'node:util';

import type {
  SectionName,
  SteeringDocument,
} from '@buckthornlug/protocol/document/documentTypes.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';

/** How one section differs between two documents. */
export interface SectionChange {
  readonly section: SectionName;
  readonly change: 'added' | 'changed' | 'removed';
}

/** Traffic of one service that a change moves away from or back to a region. */
export interface TrafficMove {
  readonly service: string;
  readonly region: string;
  /** Share of its own traffic that the region keeps before and after, in permille. */
  readonly keptBeforePermille: number;
  readonly keptAfterPermille: number;
  /** Smallest number of steps and shortest time that the shift cap allows. */
  readonly steps: number;
  readonly shortestMs: number;
}

/** Effects of a change of the document. */
export interface ChangeSummary {
  readonly sections: readonly SectionChange[];
  readonly moves: readonly TrafficMove[];
}

const fullSharePermille = 1000;

/**
 * Lists the sections that differ.
 *
 * @param before - document in force
 * @param after - edited document
 */
export function changedSections(
  before: SteeringDocument,
  after: SteeringDocument,
): SectionChange[] {
  const sectionsBefore = splitSections(before);
  const sectionsAfter = splitSections(after);
  const changes: SectionChange[] = [];
  for (const [section, content] of sectionsAfter) {
    if (!sectionsBefore.has(section)) changes.push({ section, change: 'added' });
    else if (!isDeepStrictEqual(sectionsBefore.get(section), content)) {
      changes.push({ section, change: 'changed' });
    }
  }
  for (const section of sectionsBefore.keys()) {
    if (!sectionsAfter.has(section)) changes.push({ section, change: 'removed' });
  }
  return changes;
}

/** Share of its own traffic that a region is to keep, in permille. */
export function keptPermille(document: SteeringDocument, service: string, region: string): number {
  const traffic = document.traffic[service];
  if (traffic === undefined) return fullSharePermille;
  if (traffic.drainedRegions.includes(region)) return 0;
  return traffic.weights[region] ?? fullSharePermille;
}

function computeMove(
  before: SteeringDocument,
  after: SteeringDocument,
  service: string,
  region: string,
): TrafficMove | undefined {
  const cap = after.traffic[service]?.shiftCap;
  if (cap === undefined) return undefined;
  const keptBeforePermille = keptPermille(before, service, region);
  const keptAfterPermille = keptPermille(after, service, region);
  if (keptBeforePermille === keptAfterPermille) return undefined;
  const steps = Math.ceil(Math.abs(keptAfterPermille - keptBeforePermille) / cap.stepPermille);
  const shortestMs = (steps - 1) * cap.stepIntervalMs;
  return { service, region, keptBeforePermille, keptAfterPermille, steps, shortestMs };
}

/**
 * Summarizes a change of the document: the sections that differ, and the traffic that moves under the
 * shift caps of the edited document.
 *
 * @param before - document in force
 * @param after - edited document
 */
export function summarizeChange(before: SteeringDocument, after: SteeringDocument): ChangeSummary {
  const moves: TrafficMove[] = [];
  for (const service of Object.keys(after.services)) {
    for (const region of after.network.regions) {
      const move = computeMove(before, after, service, region.id);
      if (move !== undefined) moves.push(move);
    }
  }
  return { sections: changedSections(before, after), moves };
}
