import { isRetryable, RetryBudget } from '@buckthornlug/core/retries/retryBudget.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import type { MayRetry, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';

/** Most dispatches of one call. */
export const maxDispatches = 3;

/** Decides on repeated dispatches of the calls that callers sent to this host. */
export interface Retries {
  readonly mayRetry: MayRetry;
  readonly recordCall: (call: PendingCall) => void;
  /** Records that the pool owner decides on the call. */
  readonly recordForwardedCall: (call: PendingCall) => void;
  /** Spends one hedge of the retry budget, if enough is left. */
  readonly trySpendOnHedge: () => boolean;
  /** Refunds the budget of a hedge that got no slot. */
  readonly refundHedge: () => void;
}

/**
 * Creates the retry decisions of a host.
 *
 * @param estimateCallMs - returns the typical service time of a service's kind of work
 */
export function createRetries(
  context: HostContext,
  estimateCallMs: (service: string, kind: string) => number,
): Retries {
  const budget = new RetryBudget();
  const decidedByOwner = new WeakSet<CallSignal>();
  return {
    recordCall: (call) => {
      if (call.attempt === 0) budget.recordCall();
      decidedByOwner.delete(call.signal);
    },
    recordForwardedCall: (call) => decidedByOwner.add(call.signal),
    trySpendOnHedge: () => budget.trySpendOnHedge(),
    refundHedge: () => budget.refund(),
    mayRetry: (call, outcome) => {
      if (call.attempt + 1 >= maxDispatches) return false;
      const nowMs = context.clock.nowMs();
      if (!isRetryable(call, outcome, nowMs, estimateCallMs(call.service, call.kind))) return false;
      const isOwnerRefusal = outcome.result === 'notRun' && outcome.status !== undefined;
      if (isOwnerRefusal && decidedByOwner.has(call.signal)) return false;
      if (budget.trySpend()) return true;
      context.metrics.count('retries_refused_total', { service: call.service });
      return false;
    },
  };
}
