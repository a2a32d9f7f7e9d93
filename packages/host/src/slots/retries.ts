import { isRetryable, RetryBudget } from '@buckthornlug/core/retries/retryBudget.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import type { MayRetry, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';

/** Dispatches of one call at most. */
export const maxDispatches = 3;

/** Decides on repeated dispatches of the calls that this host took from callers. */
export interface Retries {
  readonly mayRetry: MayRetry;
  readonly noteCall: (call: PendingCall) => void;
  /** Notes that the pool owner decides on the call. */
  readonly noteForwarded: (call: PendingCall) => void;
  /** Takes one hedge out of the budget. */
  readonly spendOnHedge: () => boolean;
  /** Gives back what was taken for a hedge that got no slot. */
  readonly giveBackHedge: () => void;
}

/**
 * Creates the retry decisions of a host.
 *
 * @param context - context of the host
 * @param usualMs - usual time of a call of a service and kind
 */
export function createRetries(
  context: HostContext,
  usualMs: (service: string, kind: string) => number,
): Retries {
  const budget = new RetryBudget();
  const decidedByOwner = new WeakSet<CallSignal>();
  return {
    noteCall: (call) => {
      if (call.attempt === 0) budget.recordCall();
      decidedByOwner.delete(call.signal);
    },
    noteForwarded: (call) => decidedByOwner.add(call.signal),
    spendOnHedge: () => budget.trySpendOnHedge(),
    giveBackHedge: () => budget.refund(),
    mayRetry: (call, outcome) => {
      if (call.attempt + 1 >= maxDispatches) return false;
      const nowMs = context.clock.nowMs();
      if (!isRetryable(call, outcome, nowMs, usualMs(call.service, call.kind))) return false;
      const isOwnersRefusal = outcome.result === 'notRun' && outcome.status !== undefined;
      if (isOwnersRefusal && decidedByOwner.has(call.signal)) return false;
      if (budget.trySpend()) return true;
      context.metrics.count('retries_refused_total', { service: call.service });
      return false;
    },
  };
}
