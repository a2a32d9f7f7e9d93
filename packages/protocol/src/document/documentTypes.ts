import type { z } from 'zod';

import type {
  clientBlocksSchema,
  documentSchema,
  networkSchema,
  ranksSchema,
  serviceSchema,
  teamsSchema,
  trafficSchema,
} from './documentSchema.js';

/** The whole document with its defaults filled in. */
export type SteeringDocument = z.infer<typeof documentSchema>;
export type Network = z.infer<typeof networkSchema>;
export type Ranks = z.infer<typeof ranksSchema>;
export type ClientBlocks = z.infer<typeof clientBlocksSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Kind = Service['kinds'][number];
export type Traffic = z.infer<typeof trafficSchema>;
export type Teams = z.infer<typeof teamsSchema>;

/** Execution guarantee of a kind of work: how often it may run. */
export type Execution = Kind['execution'];

/** Name of a section, such as `network`, `services/parts-desk` or `clientBlocks/lagos`. */
export type SectionName = string;

/** One section with the version that last changed it. */
export interface VersionedSection {
  readonly name: SectionName;
  /** Version of the document that last changed the section. */
  readonly version: number;
  /** Content; null where the section was removed. */
  readonly content: unknown;
}

/** Version of a document and of each of its sections. */
export type DocumentVersions = NonNullable<SteeringDocument['base']>;
