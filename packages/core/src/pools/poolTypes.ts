/** Rules of a rank in a pool; the index of the rank is its urgency, 0 the most urgent. */
export interface RankRule {
  readonly targetMs: number;
  /** Share of the slots guaranteed to the rank. */
  readonly floorPermille: number;
}

/** Rules of a pool, from the document and the settings. */
export interface PoolRules {
  readonly ranks: readonly RankRule[];
  /** Usual service time before any answer was seen. */
  readonly serviceTimeMs: number;
  readonly maxQueuedCalls: number;
}

/** What the pool needs to know of a call. Times are monotonic milliseconds. */
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

/** What a pool decided on calls. */
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

/** What a pool expects of a call that is not offered yet. */
export interface PoolAdmissionForecast {
  /** Why the call would be refused; undefined where it may be taken. */
  readonly reason: RefusalReason | undefined;
  readonly expectedWaitMs: number;
}

/** Answer to an offered call. */
export type OfferResult<Call extends PoolCall> =
  | { readonly offer: 'queued'; readonly entry: QueuedCall<Call> }
  | {
      readonly offer: 'refused';
      readonly reason: RefusalReason;
      readonly expectedWaitMs: number;
    };
