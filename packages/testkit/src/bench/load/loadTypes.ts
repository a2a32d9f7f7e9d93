import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { BackendCounts, FakeBackendOptions } from '../../fakes/fakeBackendTypes.js';

/** Messages between the load bench and the processes that it starts. */

/** A stream of calls of one kind in one zone; arrivals are a Poisson process. */
export interface CallStream {
  readonly service: string;
  readonly kind: string;
  readonly rank: number;
  readonly availabilityZone: string;
  readonly hostName: string;
  readonly method: string;
  readonly path: string;
  readonly callsPerS: number;
  readonly targetMs: number;
  /** Hosts to call; more than one are used in turn. */
  readonly hosts: readonly Endpoint[];
  /** Whether the hosts are to be looked up at the first of them. */
  readonly looksUp: boolean;
}

/** Work of one load process. */
export interface LoadPlan {
  readonly message: 'load';
  readonly seed: number;
  readonly streams: readonly CallStream[];
  /** Time before calls are counted. */
  readonly warmUpMs: number;
  readonly durationMs: number;
}

/** What happened to the counted calls of a stream. */
export interface StreamResult {
  readonly service: string;
  readonly kind: string;
  readonly rank: number;
  readonly availabilityZone: string;
  readonly targetMs: number;
  readonly offered: number;
  readonly answered: number;
  readonly insideTarget: number;
  readonly hungUp: number;
  readonly broken: number;
  /** Refusals by result code, or by status where there is none. */
  readonly refused: Readonly<Record<string, number>>;
  /** Time from the scheduled start to the end of the answer. */
  readonly latenciesMs: readonly number[];
  /** Time from the scheduled start of a call to its real one: the lag of the source of load itself. */
  readonly startLagsMs: readonly number[];
}

/** A connection that delays what passes, in both directions. */
export interface RelayLine {
  readonly listen: Endpoint;
  readonly to: Endpoint;
  readonly oneWayDelayMs: number;
}

/** How a naive host picks a backend server. */
export type NaivePolicy = 'roundRobin' | 'twoChoices';

/** Requests of the bench to its processes. */
export type BenchRequest =
  | LoadPlan
  | { readonly message: 'fakes'; readonly fakes: readonly FakeBackendOptions[] }
  | { readonly message: 'counts' }
  | { readonly message: 'slotTimes' }
  | { readonly message: 'setState'; readonly backendId: string; readonly state: 'leaving' }
  | { readonly message: 'relay'; readonly lines: readonly RelayLine[] }
  | {
      readonly message: 'host';
      readonly settings: Settings;
      readonly document: SteeringDocument;
    }
  | {
      readonly message: 'naiveHost';
      readonly callers: Endpoint;
      readonly hostId: string;
      readonly policy: NaivePolicy;
      readonly document: SteeringDocument;
    };

/** Counts of a fake backend server and the time of its last new call. */
export interface FakeReport {
  readonly backendId: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly counts: BackendCounts;
}

/** Time that calls of a service held slots of one host, since its start. */
export interface SlotTime {
  readonly service: string;
  readonly calls: number;
  readonly totalMs: number;
}

/** Answers of the processes. */
export type BenchReply =
  | { readonly message: 'ready' }
  | { readonly message: 'results'; readonly results: readonly StreamResult[] }
  | { readonly message: 'counts'; readonly fakes: readonly FakeReport[] }
  | { readonly message: 'slotTimes'; readonly times: readonly SlotTime[] };
