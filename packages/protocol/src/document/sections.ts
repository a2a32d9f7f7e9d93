import type { SteeringDocument, SectionName } from './documentTypes.js';
import {
  clientBlocksSchema,
  networkSchema,
  ranksSchema,
  serviceSchema,
  teamsSchema,
  trafficSchema,
} from './documentSchema.js';

/** Top-level members that are one section each. */
const singleSections = ['teams', 'network', 'ranks'] as const;
/** Top-level members that hold one section per key. */
const keyedSections = ['clientBlocks', 'services', 'traffic'] as const;

/** Sections of a document by name. */
export type Sections = ReadonlyMap<SectionName, unknown>;

/**
 * Splits a document into its sections.
 *
 * @param document - whole document
 */
export function splitSections(document: SteeringDocument): Map<SectionName, unknown> {
  const sections = new Map<SectionName, unknown>();
  for (const name of singleSections) sections.set(name, document[name]);
  for (const name of keyedSections) {
    for (const [key, content] of Object.entries(document[name])) {
      sections.set(`${name}/${key}`, content);
    }
  }
  return sections;
}

/**
 * Finds the content of a section.
 *
 * @param document - whole document
 * @param name - section name
 */
export function sectionOf(document: SteeringDocument, name: SectionName): unknown {
  const slash = name.indexOf('/');
  const members = document as unknown as Readonly<Record<string, unknown>>;
  if (slash < 0) return members[name];
  const group = members[name.slice(0, slash)] as Readonly<Record<string, unknown>> | undefined;
  return group?.[name.slice(slash + 1)];
}

/**
 * Joins sections to a document, unchecked: pass the value to `checkDocument`.
 *
 * @param sections - sections by name
 */
export function joinSections(sections: Sections): Record<string, unknown> {
  const joined: Record<string, unknown> = { format: 1 };
  for (const name of keyedSections) joined[name] = {};
  for (const [name, content] of sections) {
    const slash = name.indexOf('/');
    if (slash < 0) {
      joined[name] = content;
      continue;
    }
    const group = joined[name.slice(0, slash)] as Record<string, unknown> | undefined;
    if (group !== undefined) group[name.slice(slash + 1)] = content;
  }
  return joined;
}

/**
 * Finds the schema of a section.
 *
 * @param name - section name
 * @returns the schema, or undefined where no such section can exist
 */
export function sectionSchema(name: SectionName) {
  if (name === 'teams') return teamsSchema;
  if (name === 'network') return networkSchema;
  if (name === 'ranks') return ranksSchema;
  if (name.startsWith('clientBlocks/')) return clientBlocksSchema;
  if (name.startsWith('services/')) return serviceSchema;
  if (name.startsWith('traffic/')) return trafficSchema;
  return undefined;
}

/**
 * Tells whether a pattern of a team covers a section.
 *
 * @param pattern - section name, or a prefix with a trailing `*`
 * @param name - section name
 */
export function coversSection(pattern: string, name: SectionName): boolean {
  if (pattern.endsWith('*')) return name.startsWith(pattern.slice(0, -1));
  return pattern === name;
}
