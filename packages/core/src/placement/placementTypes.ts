import type { TrackedBackend } from './trackedBackend.js';

/** A call that asks for a backend server. Times are monotonic milliseconds. */
export interface PlaceableCall {
  readonly routeId: string;
  readonly service: string;
  /** Object that the call is about; undefined where the route has no affinity or names none. */
  readonly objectKey: string | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targetMs: number;
  readonly targetAtMs: number;
  /** Time after which the call is given up. */
  readonly deadlineAtMs: number;
  /** Regions that may serve the call; empty for all. */
  readonly homeRegions: readonly string[];
  /** Backend servers that were tried before. */
  readonly tried: ReadonlySet<string>;
}

/** Why a call is turned away before it ran. */
export type TurnAwayReason = 'noBackend' | 'targetMissed' | 'deadlinePassed';

/** A place that was weighed for a call. */
export interface ScoredBackend {
  readonly backend: TrackedBackend;
  /** Whether its object was handled there lately, as far as known. */
  readonly isWarm: boolean;
  /** Expected time of the answer without wait and link. */
  readonly expectedMs: number;
  /** Calls there, and calls that wait for it and go before. */
  readonly load: number;
  /** Expected time until a slot is free. */
  readonly waitMs: number;
  /** Expected time until the caller has the answer. */
  readonly costMs: number;
}

/** What to do with a call now. */
export type PlacementDecision<Call> =
  | {
      readonly decision: 'send';
      readonly call: Call;
      readonly place: ScoredBackend;
    }
  | {
      readonly decision: 'wait';
      readonly call: Call;
      /** Backend server whose slot it is expected to get. */
      readonly backend: TrackedBackend;
    }
  | {
      readonly decision: 'turnAway';
      readonly call: Call;
      readonly reason: TurnAwayReason;
      /** Time after which room is expected. */
      readonly retryAfterMs: number;
      /** The best place that was found; absent where there was none. */
      readonly best?: ScoredBackend;
    };

/** Place of this host and rules that hold for all pools. */
export interface PoolConfig {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Largest change of the share of a region's calls that run elsewhere, 0 to 1. */
  readonly maxShift: number;
}
