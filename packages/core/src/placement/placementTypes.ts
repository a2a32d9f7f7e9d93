import type { TrackedBackend } from './trackedBackend.js';

/** A call that needs a backend server. Times are monotonic. */
export interface PlaceableCall {
  readonly requestId: string;
  readonly routeId: string;
  readonly service: string;
  /** Object that the call is about; undefined if the route has no affinity or the call names no object. */
  readonly objectKey: string | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targetMs: number;
  readonly targetAtMs: number;
  /** Time after which the call is given up. */
  readonly deadlineAtMs: number;
  /** Regions that may serve the call; empty if all may. */
  readonly homeRegions: readonly string[];
  /** Ids of the backend servers that were already tried. */
  readonly tried: ReadonlySet<string>;
}

/**
 * Why a call is turned away, that is rejected without being sent. `otherRegionFull`: its planned region has room,
 * but another planned region of its callers turns such calls away, and both refuse the same part.
 */
export type TurnAwayReason = 'noBackend' | 'targetMissed' | 'deadlinePassed' | 'otherRegionFull';

/**
 * Why a call runs in a region: it is planned for it, its planned region has lost its backend servers, or the
 * call is one of the exceptions that a host may make.
 */
export type PlacementChoice = 'planned' | 'failover' | 'spill';

/** A candidate backend server for a call, with its estimates. */
export interface ScoredBackend {
  readonly backend: TrackedBackend;
  /** Whether the object of the call is taken to be warm there. */
  readonly isWarm: boolean;
  /** Whether an answer to this host has shown that it handled the object recently. */
  readonly hasRunObject: boolean;
  /** Expected answer time, without waiting and network delay. */
  readonly expectedMs: number;
  readonly choice: PlacementChoice;
  /** Share of the calls that the host's region runs itself, as this host has it. */
  readonly homeShare: number;
  /** Calls at the backend server, and calls that wait for it and are served before this one. */
  readonly load: number;
  /** Expected time until a slot is free. */
  readonly waitMs: number;
  /** Expected time until the caller has the answer, plus penalties such as that for failures. */
  readonly costMs: number;
}

/** Decision on a call. */
export type PlacementDecision<Call> =
  | {
      readonly decision: 'send';
      readonly call: Call;
      readonly place: ScoredBackend;
      /** Region that the plan has for the call. */
      readonly plannedRegion?: string;
    }
  | {
      readonly decision: 'wait';
      readonly call: Call;
      /** Backend server whose slot the call is expected to get. */
      readonly backend: TrackedBackend;
    }
  | {
      readonly decision: 'turnAway';
      readonly call: Call;
      readonly reason: TurnAwayReason;
      /** Time after which capacity is expected. */
      readonly retryAfterMs: number;
      /** The best candidate; absent if there was none. */
      readonly best?: ScoredBackend;
      /** Region that the plan has for the call; absent if no region may serve it. */
      readonly plannedRegion?: string;
    };

/** Location of this host, and the shift cap of all pools. */
export interface PoolConfig {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Shift cap: largest share of a region's calls that may change region per window, 0 to 1. */
  readonly maxShift: number;
}

/** Entry hosts that take calls near this host. */
export interface EntryHosts {
  readonly zoneHostIds: readonly string[];
  /** Number of entry hosts in the region. */
  readonly regionHostCount: number;
}
