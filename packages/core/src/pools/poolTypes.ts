/** Rules of a rank in a pool; the index of the rank is its urgency, 0 the most urgent. */
export interface RankRule {
  readonly targetMs: number;
  /** Share of the slots guaranteed to the rank. */
  readonly floorPermille: number;
}

/** Rules of a pool, from the document and the settings. */
export interface PoolRules {
  readonly ranks: readonly RankRule[];
  /** Service time that is assumed before the first answer. */
  readonly serviceTimeMs: number;
  readonly maxQueuedCalls: number;
}

/** The fields of a call that the pool reads. Times are monotonic milliseconds. */
export interface PoolCall {
  readonly requestId: string;
  readonly kind: string;
  readonly rank: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  /** Backend servers that must not run the call. */
  readonly excluded: readonly string[];
}

/** A call in the queue of a pool. */
export interface QueuedCall<Call extends PoolCall> {
  readonly call: Call;
  readonly enqueuedAtMs: number;
  /** Expected slot time. */
  readonly costMs: number;
  isWaiting: boolean;
}

/** A call that runs on a slot. */
export interface RunningCall {
  readonly kind: string;
  readonly rank: number;
  /** Slot time that was charged at dispatch. */
  readonly costMs: number;
}

/** Why a call got no slot. */
export type RefusalReason = 'deadlinePassed' | 'targetMissed' | 'queueFull' | 'noSlots';

/** Decision of a pool on a waiting call. */
export type PoolEffect<Call extends PoolCall, Backend> =
  | {
      readonly effect: 'dispatch';
      readonly call: Call;
      readonly backend: Backend;
      readonly running: RunningCall;
    }
  | {
      readonly effect: 'refuse';
      readonly call: Call;
      readonly reason: RefusalReason;
      readonly expectedWaitMs: number;
    };

/** Forecast for a call that has not been offered yet. */
export interface PoolAdmissionForecast {
  /** Why the call would be refused; undefined if it would be queued. */
  readonly reason: RefusalReason | undefined;
  readonly expectedWaitMs: number;
}

/** Result of offering a call to a pool. */
export type OfferResult<Call extends PoolCall> =
  | { readonly offer: 'queued'; readonly entry: QueuedCall<Call> }
  | {
      readonly offer: 'refused';
      readonly reason: RefusalReason;
      readonly expectedWaitMs: number;
    };
