import type { Execution } from '../document/documentTypes.js';
import type { Failure } from '../results/failure.js';
import type { Endpoint } from '../common/primitives.js';
import type { CallSignal } from './callSignal.js';

/** A call that waits for its placement. Times are monotonic milliseconds of this process. */
export interface PendingCall {
  readonly requestId: string;
  readonly service: string;
  readonly kind: string;
  /** Index into the ranks of the document; 0 is the most urgent. */
  readonly rank: number;
  readonly execution: Execution;
  readonly arrivedAtMs: number;
  /** Time of the latency target. */
  readonly targetAtMs: number;
  /** Deadline of the call. */
  readonly deadlineAtMs: number;
  /** Number of earlier dispatches of this call by all hosts. */
  readonly attempt: number;
  /**
   * IDs of backend servers and hosts that must not be chosen, such as those that failed this call.
   */
  readonly excluded: readonly string[];
  /** Sender of the call: a caller, a host of the same zone, or a host of another zone. */
  readonly origin: 'caller' | 'zonePeer' | 'otherZone';
  /** Region of the caller, for the cap on shifted traffic. */
  readonly originRegion: string;
  /** Credit spent by a call from another zone. */
  readonly creditId?: string;
  /** Aborted when the caller hangs up, the deadline passes or another attempt answers first. */
  readonly signal: CallSignal;
}

/**
 * Outcome of a dispatched call, reported to the task that placed it. An attempt is `outpaced` if
 * another attempt of the same call answered first and this one was cancelled.
 */
export interface CallOutcome {
  readonly result: 'answered' | 'notRun' | 'broken' | 'timedOut' | 'cancelled' | 'outpaced';
  /** HTTP status of the answer, if one came. */
  readonly status?: number;
  /** Time from dispatch to the end of the answer. */
  readonly elapsedMs: number;
  /**
   * Whether this host aborted the call after sending it, so that its receiver may still work on it.
   */
  readonly isAbortedAfterSend?: boolean;
  /** Why the call was not answered. */
  readonly failure?: Failure;
}

/** Placement of a call: a slot of a backend server, another host, or a refusal. */
export type Placement =
  | {
      readonly place: 'backend';
      readonly backendId: string;
      readonly endpoint: Endpoint;
      /**
       * Whether this host still holds the slot; checked when the request is handed to a connection.
       */
      readonly mayStart: () => boolean;
      /** Releases the slot; must be called exactly once. */
      readonly release: (outcome: CallOutcome) => void;
    }
  | {
      readonly place: 'host';
      readonly hostId: string;
      readonly creditId?: string;
      /** Time after which the credit could expire before the call arrives at the host. */
      readonly useBeforeMs?: number;
      readonly release: (outcome: CallOutcome) => void;
    }
  | { readonly place: 'refused'; readonly failure: Failure };

/** Places a call; resolves when a slot or host is available, or the call must be refused. */
export type PlaceCall = (call: PendingCall) => Promise<Placement>;

/** Result of the early admission check of a call, before its placement is requested. */
export interface AdmissionForecast {
  /** Refusal that the call would get now; absent if it may be admitted. */
  readonly failure?: Failure;
  /** Releases what is reserved for the call until its placement; called when the call has ended. */
  readonly end: () => void;
}

/**
 * Early admission check: predicts a refusal before the call incurs any cost, and counts the call as
 * expected load. Takes at most the time for which the call may wait for a credit.
 */
export type ForecastAdmission = (call: PendingCall) => Promise<AdmissionForecast>;

/** Decides whether a call whose attempt failed may be dispatched again. */
export type MayRetry = (call: PendingCall, outcome: CallOutcome) => boolean;

/** Decides on hedged requests: second attempts of calls whose first attempt is slow. */
export interface Hedging {
  /**
   * Time after the dispatch at which a second attempt may start; undefined for calls that are never
   * hedged.
   */
  readonly delayMs: (call: PendingCall) => number | undefined;
  /**
   * Places a second attempt within the retry budget: on an idle slot, or ahead of less urgent calls
   * if the target is at risk.
   *
   * @param call - the call; `excluded` contains the backend servers that run its other attempts
   */
  readonly place: PlaceCall;
}
