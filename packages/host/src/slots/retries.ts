import { isRetryable, RetryBudget } from '@buckthornlug/core/retries/retryBudget.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import type { MayRetry, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';

/** Dispatches of one call at most. */
export const maxDispatches = 3;

/** Decides on repeated dispatches of the calls that this host took from callers. */
export interface Retries {
  readonly mayRetry: MayRetry;
  readonly recordCall: (call: PendingCall) => void;
  /** Notes that the pool owner decides on the call. */
  readonly recordForwardedCall: (call: PendingCall) => void;
  /** Takes one hedge out of the budget. */
  readonly trySpendOnHedge: () => boolean;
  /** Gives back what was taken for a hedge that got no slot. */
  readonly refundHedge: () => void;
}

/**
 * Creates the retry decisions of a host.
 *
 * @param context - context of the host
 * @param estimateCallMs - usual time of a call of a service and kind
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
