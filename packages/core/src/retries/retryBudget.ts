import type { CallOutcome, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

/** One budget of repeated dispatches (retries and hedges) on the host that took the calls. */

/** Part of the calls that may be dispatched again. */
const defaultRetryPermille = 100;
/** Retries that may be saved up. */
const defaultBurst = 10;
/** Part of the burst that hedges leave to retries of failed calls. */
const reservedForRetriesShare = 0.5;

/** A budget that is filled by calls and spent by repeated dispatches. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param retryPermille - repeated dispatches for each thousand calls
   * @param burst - repeated dispatches that may be saved up
   */
  constructor(
    private readonly retryPermille = defaultRetryPermille,
    private readonly burst = defaultBurst,
  ) {
    this.tokens = burst;
  }

  /** Notes a call that came from a caller. */
  recordCall(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.retryPermille / 1000);
  }

  /** Takes one repeated dispatch out of the budget, if there is one. */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Takes one hedge out of the budget; hedges leave half of the burst to retries. */
  trySpendOnHedge(): boolean {
    if (this.tokens < 1 + this.burst * reservedForRetriesShare) return false;
    return this.trySpend();
  }

  /** Gives back what was taken for a dispatch that did not happen. */
  refund(): void {
    this.tokens = Math.min(this.burst, this.tokens + 1);
  }
}

/**
 * Tells whether the outcome allows to dispatch a call again at all.
 *
 * @param call - the call
 * @param outcome - how its last attempt ended
 * @param nowMs - current time
 * @param expectedMs - usual time of a call of its kind
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
