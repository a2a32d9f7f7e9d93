import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { crossSectionFaults } from '@buckthornlug/protocol/document/document.js';
import type {
  SectionName,
  SteeringDocument,
} from '@buckthornlug/protocol/document/documentTypes.js';
import { sectionSchema } from '@buckthornlug/protocol/document/sections.js';

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

/** Members of a document that hold one section per key. */
type KeyedMember = 'clientBlocks' | 'services' | 'traffic';

/** Document with some sections replaced or removed; members without a change stay the same objects. */
function withSections(
  before: SteeringDocument,
  changes: ReadonlyMap<SectionName, unknown>,
): SteeringDocument {
  const after: Record<string, unknown> = { ...before };
  const copied = new Set<string>();
  for (const [name, content] of changes) {
    const key = keyOf(name);
    if (key === undefined) {
      after[name] = content;
      continue;
    }
    const member = name.slice(0, name.indexOf('/')) as KeyedMember;
    if (!copied.has(member)) after[member] = { ...before[member] };
    copied.add(member);
    const group = after[member] as Record<string, unknown>;
    if (content === null) delete group[key];
    else group[key] = content;
  }
  return after as unknown as SteeringDocument;
}

function pick<Content>(
  group: Readonly<Record<string, Content>>,
  keys: ReadonlySet<string>,
): Record<string, Content> {
  const picked: Record<string, Content> = {};
  for (const key of keys) {
    const content = group[key];
    if (content !== undefined) picked[key] = content;
  }
  return picked;
}

function changedKeys(
  changed: ReadonlyMap<SectionName, unknown>,
  members: readonly KeyedMember[],
): ReadonlySet<string> {
  const keys = new Set<string>();
  for (const name of changed.keys()) {
    const isMember = members.some((member) => name.startsWith(`${member}/`));
    const key = keyOf(name);
    if (isMember && key !== undefined) keys.add(key);
  }
  return keys;
}

/** Leaves out sections that cannot have come into contradiction by the change. */
function affectedPart(
  document: SteeringDocument,
  changed: ReadonlyMap<SectionName, unknown>,
): SteeringDocument {
  if (changed.has('network') || changed.has('ranks')) return document;
  const services = changedKeys(changed, ['services', 'traffic']);
  return {
    ...document,
    clientBlocks: pick(document.clientBlocks, changedKeys(changed, ['clientBlocks'])),
    services: pick(document.services, services),
    traffic: pick(document.traffic, services),
  };
}

/** Whether a changed service has a host name of another one. */
function sharesHostName(
  document: SteeringDocument,
  changed: ReadonlyMap<SectionName, unknown>,
): boolean {
  const changedIds = changedKeys(changed, ['services']);
  const names = new Set<string>();
  for (const service of Object.values(pick(document.services, changedIds))) {
    for (const name of service.hostNames) names.add(name);
  }
  if (names.size === 0) return false;
  for (const [serviceId, service] of Object.entries(document.services)) {
    if (changedIds.has(serviceId)) continue;
    if (service.hostNames.some((name) => names.has(name))) return true;
  }
  return false;
}

/**
 * Checks changed sections and their agreement with the others.
 *
 * @param changes - new content by section; null where a section is removed
 * @param before - document before the change, checked before
 * @returns the document with its defaults; undefined where anything is wrong
 */
export function checkChangedSections(
  changes: Readonly<Record<SectionName, unknown>>,
  before: SteeringDocument,
): SteeringDocument | undefined {
  const changed = new Map<SectionName, unknown>();
  for (const [name, content] of Object.entries(changes)) {
    const parsed = content === null ? null : parsedSection(name, content);
    const isPlain = keyOf(name) === undefined;
    if (parsed === undefined || (parsed === null && isPlain)) return undefined;
    changed.set(name, parsed);
  }
  const document = withSections(before, changed);
  if (crossSectionFaults(affectedPart(document, changed)).length > 0) return undefined;
  return sharesHostName(document, changed) ? undefined : document;
}
