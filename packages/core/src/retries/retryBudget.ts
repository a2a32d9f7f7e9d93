import type { CallOutcome, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

/** Limits repeated dispatches (retries and hedges) on the host that took the calls. */

/** Repeated dispatches per thousand calls. */
const defaultRetryPermille = 100;
/** Repeated dispatches that may accumulate. */
const defaultBurst = 10;
/** Part of the burst that is reserved for retries of failed calls and not available to hedges. */
const reservedForRetriesShare = 0.5;

/** A budget that calls fill and repeated dispatches spend. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param retryPermille - repeated dispatches per thousand calls
   * @param burst - repeated dispatches that may accumulate; the budget starts full
   */
  constructor(
    private readonly retryPermille = defaultRetryPermille,
    private burst = defaultBurst,
  ) {
    this.tokens = burst;
  }

  /** Records a call from a caller, which adds its share to the budget. */
  recordCall(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.retryPermille / 1000);
  }

  /** Changes the limit of what may accumulate; what is beyond it is lost. */
  setBurst(burst: number): void {
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Spends one repeated dispatch, if the budget has one. */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Spends one hedge, if the budget has more than the part reserved for retries. */
  trySpendOnHedge(): boolean {
    if (this.tokens < 1 + this.burst * reservedForRetriesShare) return false;
    return this.trySpend();
  }

  /** Refunds a repeated dispatch that did not happen. */
  refund(): void {
    this.tokens = Math.min(this.burst, this.tokens + 1);
  }
}

/**
 * Whether a call may be dispatched again after an attempt, without regard to the budget.
 *
 * @param call - the call
 * @param outcome - how its last attempt ended
 * @param nowMs - current time
 * @param expectedMs - expected time of a call of its kind
 */
export function isRetryable(
  call: PendingCall,
  outcome: CallOutcome,
  nowMs: number,
  expectedMs: number,
): boolean {
  if (call.origin !== 'caller' || call.signal.aborted) return false;
  const { result } = outcome;
  if (result === 'answered' || result === 'cancelled' || result === 'outpaced') return false;
  if (nowMs + expectedMs > call.deadlineAtMs) return false;
  return call.execution === 'idempotent' || outcome.result === 'notRun';
}
