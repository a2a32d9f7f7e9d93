import type { Hedging, Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

import { AttemptAbort } from './attemptAbort.js';
import type { AnswerSink, AttemptResult } from './callTypes.js';
import type { Dispatch, DispatchedCall } from './dispatch.js';
import { createFirstAnswerSink } from './firstAnswerSink.js';

/** A placement on a backend server. */
export type BackendPlacement = Extract<Placement, { readonly place: 'backend' }>;

/** Dependencies of a hedged dispatch. */
export interface HedgeParts {
  readonly dispatch: Dispatch;
  readonly place: Hedging['place'];
  /** Called when the hedged attempt starts. */
  readonly onHedged: () => void;
  /** Called when the hedged attempt is the first to answer. */
  readonly onHedgeWon: () => void;
}

/** Result of both attempts of a hedged dispatch. */
export interface HedgedResult {
  /** Result of the attempt that answered; else the failure after which the call may have run, if any. */
  readonly result: AttemptResult;
  /** Ids of the backend servers that were tried. */
  readonly backendIds: readonly string[];
}

function isProvenNotRun(result: AttemptResult): boolean {
  return result.outcome.result === 'notRun' || !result.requestStarted;
}

/** Chooses the attempt whose result becomes the result of the call. */
function chooseResult(first: AttemptResult, second: AttemptResult | undefined): AttemptResult {
  if (second === undefined || first.answerStarted) return first;
  if (second.answerStarted || isProvenNotRun(first)) return second;
  return first;
}

/** A call that gets a second attempt if the answer to the first one is late. */
class HedgedCall {
  private readonly answerSink;

  private readonly firstAbort;

  private readonly secondAbort;

  private readonly backendIds: string[];

  constructor(
    private readonly parts: HedgeParts,
    private readonly dispatched: DispatchedCall,
    private readonly placement: BackendPlacement,
  ) {
    const { signal } = dispatched.pending;
    this.answerSink = createFirstAnswerSink(dispatched.sink);
    this.firstAbort = new AttemptAbort(signal);
    this.secondAbort = new AttemptAbort(signal);
    this.backendIds = [placement.backendId];
  }

  async run(delayMs: number): Promise<HedgedResult> {
    let second: Promise<AttemptResult | undefined> = Promise.resolve(undefined);
    const timer = setTimeout(() => {
      second = this.hedge();
    }, delayMs);
    const first = await this.attempt(
      this.placement,
      this.firstAbort,
      this.answerSink.addAttempt(() => this.secondAbort.abortAsOutpaced()),
      false,
    );
    clearTimeout(timer);
    if (this.backendIds.length === 1) this.secondAbort.abortAsOutpaced();
    const result = chooseResult(first, await second);
    this.firstAbort.dispose();
    this.secondAbort.dispose();
    return { result, backendIds: this.backendIds };
  }

  /** Makes the hedged attempt if a slot is idle; resolves to undefined if none was started. */
  private async hedge(): Promise<AttemptResult | undefined> {
    const { pending } = this.dispatched;
    const { signal } = this.secondAbort;
    if (this.answerSink.hasAnswer() || signal.aborted) return undefined;
    const placement = await this.parts.place({
      ...pending,
      attempt: pending.attempt + 1,
      excluded: [...pending.excluded, this.placement.backendId],
      signal,
    });
    if (placement.place !== 'backend') return undefined;
    if (signal.aborted) {
      placement.release({ result: 'cancelled', elapsedMs: 0 });
      return undefined;
    }
    this.backendIds.push(placement.backendId);
    this.parts.onHedged();
    const sink = this.answerSink.addAttempt(() => {
      this.firstAbort.abortAsOutpaced();
      this.parts.onHedgeWon();
    });
    return this.attempt(placement, this.secondAbort, sink, true);
  }

  private async attempt(
    placement: BackendPlacement,
    abort: AttemptAbort,
    sink: AnswerSink,
    isHedge: boolean,
  ): Promise<AttemptResult> {
    const pending = { ...this.dispatched.pending, signal: abort.signal };
    const result = await this.parts.dispatch(
      { ...this.dispatched, pending, sink, isHedge },
      placement,
    );
    placement.release(result.outcome);
    return result;
  }
}

/**
 * Dispatches an idempotent call, and sends a hedged request to an idle slot of another backend server if
 * the answer is late. The first attempt to answer is passed to the caller; the other one is cancelled.
 *
 * @param dispatched - the call, with a buffered body
 * @param placement - slot of the first attempt, which is released here
 * @param delayMs - time without an answer after which the hedged request is sent
 */
export function dispatchHedged(
  parts: HedgeParts,
  dispatched: DispatchedCall,
  placement: BackendPlacement,
  delayMs: number,
): Promise<HedgedResult> {
  return new HedgedCall(parts, dispatched, placement).run(delayMs);
}
