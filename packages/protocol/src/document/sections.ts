import type { SteeringDocument, SectionName } from './documentTypes.js';
import {
  clientBlocksSchema,
  networkSchema,
  ranksSchema,
  serviceSchema,
  teamsSchema,
  trafficSchema,
} from './documentSchema.js';

/** Top-level members that each form a single section. */
const singleSections = ['teams', 'network', 'ranks'] as const;
/** Top-level members that contain one section per key. */
const keyedSections = ['clientBlocks', 'services', 'traffic'] as const;

/** Sections of a document by name. */
export type Sections = ReadonlyMap<SectionName, unknown>;

/** Splits a document into its sections. */
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

/** Returns the content of a section; undefined if the document does not contain the section. */
export function sectionOf(document: SteeringDocument, name: SectionName): unknown {
  const slash = name.indexOf('/');
  const members = document as unknown as Readonly<Record<string, unknown>>;
  if (slash < 0) return members[name];
  const group = members[name.slice(0, slash)] as Readonly<Record<string, unknown>> | undefined;
  return group?.[name.slice(slash + 1)];
}

/** Joins sections into a document without validation; pass the result to `checkDocument`. */
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
 * Returns the schema of a section.
 *
 * @returns the schema, or undefined if no section can have that name
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
 * Checks whether a section pattern of a team matches a section name.
 *
 * @param pattern - section name, or a prefix with a trailing `*`
 */
export function coversSection(pattern: string, name: SectionName): boolean {
  if (pattern.endsWith('*')) return name.startsWith(pattern.slice(0, -1));
  return pattern === name;
}
