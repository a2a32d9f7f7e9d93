import type { Execution } from '../document/documentTypes.js';
import type { Failure } from '../results/failure.js';
import type { Endpoint } from '../common/primitives.js';
import type { CallSignal } from './callSignal.js';

/** A call that asks for a place to run. Times are monotonic milliseconds of this process. */
export interface PendingCall {
  readonly requestId: string;
  readonly service: string;
  readonly kind: string;
  /** Index into the ranks of the document; 0 is the most urgent. */
  readonly rank: number;
  readonly execution: Execution;
  readonly arrivedAtMs: number;
  /** Time by which the call should be answered. */
  readonly targetAtMs: number;
  /** Time after which the call is given up. */
  readonly deadlineAtMs: number;
  /** Number of earlier dispatches of this call, over all hosts. */
  readonly attempt: number;
  /** Backend servers and hosts that failed this call. */
  readonly excluded: readonly string[];
  /** How the call came in: from a caller, from a host of the zone, or from another zone. */
  readonly origin: 'caller' | 'zonePeer' | 'otherZone';
  /** Region that the call came from, for the cap on shifted traffic. */
  readonly originRegion: string;
  /** Credit spent by a call from another zone. */
  readonly creditId?: string;
  /** Aborted when the caller hangs up. */
  readonly signal: CallSignal;
}

/**
 * How a dispatched call ended, as told to the task that gave the place. An attempt is `outpaced` when
 * another attempt of the same call answered first and this one was cancelled.
 */
export interface CallOutcome {
  readonly result: 'answered' | 'notRun' | 'broken' | 'timedOut' | 'cancelled' | 'outpaced';
  /** HTTP status of the answer, if one came. */
  readonly status?: number;
  /** Time from dispatch to the end of the answer. */
  readonly elapsedMs: number;
  /** Whether this host broke off the call after it was sent, so that its receiver may still work on it. */
  readonly isAbortedAfterSend?: boolean;
  /** Why the call was not answered. */
  readonly failure?: Failure;
}

/** A place for a call: a slot of a backend server, another host, or a refusal. */
export type Placement =
  | {
      readonly place: 'backend';
      readonly backendId: string;
      readonly endpoint: Endpoint;
      /** Whether the slot is still held; asked when the request is handed to a connection. */
      readonly mayStart: () => boolean;
      /** Gives the slot back; must be called exactly once. */
      readonly release: (outcome: CallOutcome) => void;
    }
  | {
      readonly place: 'host';
      readonly hostId: string;
      readonly creditId?: string;
      /** Time after which the credit could expire before the call arrives. */
      readonly useBeforeMs?: number;
      readonly release: (outcome: CallOutcome) => void;
    }
  | { readonly place: 'refused'; readonly failure: Failure };

/** Finds a place for a call; resolves when a place is free or the call must be refused. */
export type PlaceCall = (call: PendingCall) => Promise<Placement>;

/** What a host expects of a call that has not asked for its place yet. */
export interface AdmissionForecast {
  /** Refusal that the call would get now; absent where it may be taken. */
  readonly failure?: Failure;
  /** Ends what is kept for the call until it asks for its place; called when the call has ended. */
  readonly end: () => void;
}

/**
 * Foresees a refusal before the call costs anything; counts the call as one that will come. Resolves
 * after the time for which the call may wait for a credit.
 */
export type ForecastAdmission = (call: PendingCall) => Promise<AdmissionForecast>;

/** Tells whether a call whose attempt failed may be dispatched again. */
export type MayRetry = (call: PendingCall, outcome: CallOutcome) => boolean;

/** Decides on second attempts of calls whose first attempt is late. */
export interface Hedging {
  /**
   * Time after the dispatch at which a second attempt may start, in milliseconds; undefined for calls
   * that are never hedged.
   */
  readonly delayMs: (call: PendingCall) => number | undefined;
  /**
   * Finds a place for a second attempt on an idle slot, within the retry budget.
   *
   * @param call - the call, with the backend servers in use among those excluded
   */
  readonly place: PlaceCall;
}
