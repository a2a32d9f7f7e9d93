import type {
  Execution,
  Kind,
  Service,
  SteeringDocument,
  Traffic,
} from '@buckthornlug/protocol/document/documentTypes.js';

import type { ClientBlockTable } from './clientBlockTable.js';

/** How a call is to be treated, found by its host name, method and path. */
export interface CallClass {
  readonly service: string;
  readonly kind: Kind;
  /** Index into the ranks of the document; 0 is the most urgent. */
  readonly rank: number;
  readonly execution: Execution;
  readonly targetMs: number;
  readonly timeLimitMs: number;
}

/** One kind of work with the conditions on its calls. */
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

/** A zone as seen from another one. */
export interface ZoneDistance {
  readonly availabilityZone: string;
  readonly region: string;
  /** One-way delay; infinite where no links lead there. */
  readonly oneWayDelayMs: number;
}

/** Compiled section `network`. */
export interface CompiledNetwork {
  /** Zones in the order of the document; positions are the zone indexes of the table. */
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
  /** Share of its own traffic that a region keeps; 0 where the region is drained. */
  readonly keptPermille: (region: string) => number;
  /** Whether calls may run in a zone. */
  readonly acceptsCalls: (region: string, availabilityZone: string) => boolean;
}

/** The document in the form that decisions read. */
export interface SteeringTable {
  readonly document: SteeringDocument;
  readonly services: ReadonlyMap<string, CompiledService>;
  readonly servicesByHostName: ReadonlyMap<string, CompiledService>;
  readonly traffic: ReadonlyMap<string, CompiledTraffic>;
  readonly network: CompiledNetwork;
  readonly clientBlocks: ClientBlockTable;
}
