import { failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  Hedging,
  PendingCall,
  Placement,
} from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';
import type { OwnPool } from './placement.js';
import { maxDispatches, type Retries } from './retries.js';

/** Standard deviations above the usual time at which an answer is late: the 97.7th percentile. */
const lateDeviations = 2;
/** Standard deviations below which no answer is late: the 90th percentile. */
const leastDeviations = 1.28;
/** Part of its target after which a call without an answer is late in any case. */
const lateTargetShare = 0.6;
/** Part of its target after which the target of a call without an answer is at risk. */
const riskTargetShare = 0.5;

const refused: Placement = {
  place: 'refused',
  failure: failure('BL3002', 'no slot is idle for a second attempt'),
};

/**
 * Creates the decisions on second attempts. Only calls that this host took from callers of its own
 * region are hedged, on backend servers of its own pool.
 *
 * @param context - context of the host
 * @param poolOf - pool of a service
 * @param retries - retry budget
 */
export function createHedging(
  context: HostContext,
  poolOf: (service: string) => OwnPool | undefined,
  retries: Retries,
): Hedging {
  const { settings, clock } = context;

  const mayBeHedged = (call: PendingCall): boolean => {
    if (call.origin !== 'caller' || call.execution !== 'idempotent') return false;
    return call.originRegion === settings.region && call.attempt + 1 < maxDispatches;
  };

  return {
    delayMs: (call) => {
      const own = poolOf(call.service);
      if (own === undefined || !mayBeHedged(call)) return undefined;
      const { serviceTimes: times } = own.task.pool;
      const targetMs = call.targetAtMs - call.arrivedAtMs;
      const lateMs = Math.min(
        times.quantileMs(call.kind, lateDeviations),
        targetMs * lateTargetShare,
      );
      return Math.max(lateMs, times.quantileMs(call.kind, leastDeviations));
    },
    place: async (call) => {
      const own = poolOf(call.service);
      if (own === undefined || !mayBeHedged({ ...call, attempt: call.attempt - 1 })) return refused;
      const { task, credits } = own;
      const nowMs = clock.nowMs();
      const targetMs = call.targetAtMs - call.arrivedAtMs;
      const isAtRisk = nowMs - call.arrivedAtMs >= targetMs * riskTargetShare;
      const promisedSlots = credits.promisedSlots();
      if (!task.pool.mayHedge(call.rank, isAtRisk, promisedSlots, nowMs)) return refused;
      if (!retries.spendOnHedge()) return refused;
      const placement = await task.place(call, 'homeOnly', 0, () => false);
      if (placement.place === 'refused') retries.giveBackHedge();
      return placement;
    },
  };
}
