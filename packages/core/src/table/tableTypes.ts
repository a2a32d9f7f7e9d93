import type {
  Execution,
  Kind,
  Service,
  SteeringDocument,
  Traffic,
} from '@buckthornlug/protocol/document/documentTypes.js';

import type { ClientBlockTable } from './clientBlockTable.js';

/** How a call is handled, determined by its host name, method and path. */
export interface CallClass {
  readonly service: string;
  readonly kind: Kind;
  /** Index into the ranks of the document; 0 is the most urgent. */
  readonly rank: number;
  readonly execution: Execution;
  readonly targetMs: number;
  readonly timeLimitMs: number;
}

/** A kind of call with the conditions that its calls meet. */
export interface KindRule {
  readonly methods: ReadonlySet<string>;
  readonly pathPrefix: string;
  readonly callClass: CallClass;
}

/** Compiled section of one service. */
export interface CompiledService {
  readonly service: string;
  readonly section: Service;
  /** Rules in the order of the document; the first that matches classifies a call. */
  readonly rules: readonly KindRule[];
}

/** A zone and its distance from another zone. */
export interface ZoneDistance {
  readonly availabilityZone: string;
  readonly region: string;
  /** One-way delay; infinite if no links lead to the zone. */
  readonly oneWayDelayMs: number;
}

/** Compiled section `network`. */
export interface CompiledNetwork {
  /** Zones in the order of the document; the position of a zone is its zone index. */
  readonly zoneNames: readonly string[];
  readonly regionOfZone: ReadonlyMap<string, string>;
  /** All zones in order of delay from a zone, the zone itself first. */
  readonly zonesByDelay: ReadonlyMap<string, readonly ZoneDistance[]>;
}

/** Compiled section `traffic` of one service. */
export interface CompiledTraffic {
  readonly section: Traffic;
  readonly drainedRegions: ReadonlySet<string>;
  readonly drainedZones: ReadonlySet<string>;
  /** Share of its own traffic that a region keeps; 0 if the region is drained. */
  readonly keptPermille: (region: string) => number;
  /** Whether neither a zone nor its region is drained. */
  readonly acceptsCalls: (region: string, availabilityZone: string) => boolean;
}

/** A document, compiled for lookups. */
export interface SteeringTable {
  readonly document: SteeringDocument;
  readonly services: ReadonlyMap<string, CompiledService>;
  readonly servicesByHostName: ReadonlyMap<string, CompiledService>;
  readonly traffic: ReadonlyMap<string, CompiledTraffic>;
  readonly network: CompiledNetwork;
  readonly clientBlocks: ClientBlockTable;
}
