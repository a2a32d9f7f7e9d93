import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { crossSectionFaults } from '@buckthornlug/protocol/document/document.js';
import type {
  SectionName,
  SteeringDocument,
} from '@buckthornlug/protocol/document/documentTypes.js';
import { joinSections, sectionSchema } from '@buckthornlug/protocol/document/sections.js';

/** Check of a document of which most sections were checked before. */

function keyOf(name: SectionName): string | undefined {
  const slash = name.indexOf('/');
  return slash < 0 ? undefined : name.slice(slash + 1);
}

/** Content with its defaults, or undefined where a field is wrong. */
function parsedSection(name: SectionName, content: unknown): unknown {
  const key = keyOf(name);
  if (key !== undefined && !idSchema.safeParse(key).success) return undefined;
  return sectionSchema(name)?.safeParse(content).data;
}

/** Leaves out caller blocks that cannot have come into contradiction by the change. */
function withChangedBlocks(
  document: SteeringDocument,
  changed: ReadonlySet<SectionName>,
): SteeringDocument {
  if (changed.has('network')) return document;
  const clientBlocks: SteeringDocument['clientBlocks'] = {};
  for (const name of changed) {
    const group = name.startsWith('clientBlocks/') ? keyOf(name) : undefined;
    const blocks = group === undefined ? undefined : document.clientBlocks[group];
    if (group !== undefined && blocks !== undefined) clientBlocks[group] = blocks;
  }
  return { ...document, clientBlocks };
}

/**
 * Checks changed sections and their agreement with the others.
 *
 * @param changes - new content by section; null where a section is removed
 * @param sections - sections after the change, the unchanged ones checked before
 * @returns the document with its defaults; undefined where anything is wrong
 */
export function checkChangedSections(
  changes: Readonly<Record<SectionName, unknown>>,
  sections: ReadonlyMap<SectionName, unknown>,
): SteeringDocument | undefined {
  const checked = new Map(sections);
  for (const [name, content] of Object.entries(changes)) {
    if (content === null) {
      if (keyOf(name) === undefined) return undefined;
      continue;
    }
    const parsed = parsedSection(name, content);
    if (parsed === undefined) return undefined;
    checked.set(name, parsed);
  }
  const document = joinSections(checked) as unknown as SteeringDocument;
  const changed = new Set(Object.keys(changes));
  const faults = crossSectionFaults(withChangedBlocks(document, changed));
  return faults.length === 0 ? document : undefined;
}
