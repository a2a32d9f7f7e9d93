import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { crossSectionFaults } from '@buckthornlug/protocol/document/document.js';
import type {
  SectionName,
  SteeringDocument,
} from '@buckthornlug/protocol/document/documentTypes.js';
import { sectionSchema } from '@buckthornlug/protocol/document/sections.js';

/** Incremental check of a document: only changed sections and those that they can affect. */

function sectionKeyOf(name: SectionName): string | undefined {
  const slash = name.indexOf('/');
  return slash < 0 ? undefined : name.slice(slash + 1);
}

/** Returns the content with its defaults, or undefined if the content or the key is invalid. */
function parseSection(name: SectionName, content: unknown): unknown {
  const key = sectionKeyOf(name);
  if (key !== undefined && !idSchema.safeParse(key).success) return undefined;
  return sectionSchema(name)?.safeParse(content).data;
}

/** Fields of a document that hold one section per key. */
type KeyedField = 'clientBlocks' | 'services' | 'traffic';

/** Replaces or removes sections; fields without a change keep their objects. */
function applySectionChanges(
  before: SteeringDocument,
  changes: ReadonlyMap<SectionName, unknown>,
): SteeringDocument {
  const after: Record<string, unknown> = { ...before };
  const copied = new Set<string>();
  for (const [name, content] of changes) {
    const key = sectionKeyOf(name);
    if (key === undefined) {
      after[name] = content;
      continue;
    }
    const field = name.slice(0, name.indexOf('/')) as KeyedField;
    if (!copied.has(field)) after[field] = { ...before[field] };
    copied.add(field);
    const contents = after[field] as Record<string, unknown>;
    if (content === null) delete contents[key];
    else contents[key] = content;
  }
  return after as unknown as SteeringDocument;
}

function pickKeys<Content>(
  contents: Readonly<Record<string, Content>>,
  keys: ReadonlySet<string>,
): Record<string, Content> {
  const picked: Record<string, Content> = {};
  for (const key of keys) {
    const content = contents[key];
    if (content !== undefined) picked[key] = content;
  }
  return picked;
}

function collectChangedKeys(
  changed: ReadonlyMap<SectionName, unknown>,
  fields: readonly KeyedField[],
): ReadonlySet<string> {
  const keys = new Set<string>();
  for (const name of changed.keys()) {
    const isInFields = fields.some((field) => name.startsWith(`${field}/`));
    const key = sectionKeyOf(name);
    if (isInFields && key !== undefined) keys.add(key);
  }
  return keys;
}

/**
 * Omits the sections that the change cannot bring into contradiction. A host name that is also used
 * by an omitted service is left to `hasSharedHostName`.
 */
function selectAffectedSections(
  document: SteeringDocument,
  changed: ReadonlyMap<SectionName, unknown>,
): SteeringDocument {
  if (changed.has('network') || changed.has('ranks')) return document;
  const services = collectChangedKeys(changed, ['services', 'traffic']);
  return {
    ...document,
    clientBlocks: pickKeys(document.clientBlocks, collectChangedKeys(changed, ['clientBlocks'])),
    services: pickKeys(document.services, services),
    traffic: pickKeys(document.traffic, services),
  };
}

/** Whether a changed service has a host name of a service without a change. */
function hasSharedHostName(
  document: SteeringDocument,
  changed: ReadonlyMap<SectionName, unknown>,
): boolean {
  const changedIds = collectChangedKeys(changed, ['services']);
  const names = new Set<string>();
  for (const service of Object.values(pickKeys(document.services, changedIds))) {
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
 * Checks changed sections and their consistency with the other sections.
 *
 * @param changes - new content by section; null removes a section
 * @param before - valid document before the change
 * @returns the changed document with its defaults; undefined if anything is invalid
 */
export function checkChangedSections(
  changes: Readonly<Record<SectionName, unknown>>,
  before: SteeringDocument,
): SteeringDocument | undefined {
  const changed = new Map<SectionName, unknown>();
  for (const [name, content] of Object.entries(changes)) {
    const parsed = content === null ? null : parseSection(name, content);
    const isUnkeyed = sectionKeyOf(name) === undefined;
    if (parsed === undefined || (parsed === null && isUnkeyed)) return undefined;
    changed.set(name, parsed);
  }
  const document = applySectionChanges(before, changed);
  if (crossSectionFaults(selectAffectedSections(document, changed)).length > 0) return undefined;
  return hasSharedHostName(document, changed) ? undefined : document;
}
