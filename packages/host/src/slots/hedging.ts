import { failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  Hedging,
  PendingCall,
  Placement,
} from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';
import type { OwnPool } from './placement.js';
import { maxDispatches, type Retries } from './retries.js';

/** Standard deviations above the mean at which an answer is late: the 97.7th percentile. */
const lateDeviations = 2;
/** Standard deviations above the mean below which no answer is late: the 90th percentile. */
const minLateDeviations = 1.28;
/**
 * Share of its target after which a call without an answer is late, even if it is not yet slow for
 * its kind.
 */
const lateTargetShare = 0.6;
/** Share of its target after which the target of a call without an answer is at risk. */
const atRiskTargetShare = 0.5;

const hedgeRefusal: Placement = {
  place: 'refused',
  failure: failure('BL3002', 'no slot is available for a hedged request'),
};

/**
 * Creates the decisions on hedged requests. Only idempotent calls that callers of the host's own
 * region sent to this host are hedged, and only on backend servers of its own pool.
 *
 * @param getOrCreatePool - returns the pool of a service; undefined for an unknown service
 * @param retries - budget that hedges share with retries
 */
export function createHedging(
  context: HostContext,
  getOrCreatePool: (service: string) => OwnPool | undefined,
  retries: Retries,
): Hedging {
  const { settings, clock } = context;

  const isHedgeable = (call: PendingCall): boolean => {
    if (call.origin !== 'caller' || call.execution !== 'idempotent') return false;
    return call.originRegion === settings.region && call.attempt + 1 < maxDispatches;
  };

  return {
    delayMs: (call) => {
      const own = getOrCreatePool(call.service);
      if (own === undefined || !isHedgeable(call)) return undefined;
      const { serviceTimes } = own.task.pool;
      const targetMs = call.targetAtMs - call.arrivedAtMs;
      const lateMs = Math.min(
        serviceTimes.quantileMs(call.kind, lateDeviations),
        targetMs * lateTargetShare,
      );
      return Math.max(lateMs, serviceTimes.quantileMs(call.kind, minLateDeviations));
    },
    place: async (call) => {
      const own = getOrCreatePool(call.service);
      if (own === undefined || !isHedgeable({ ...call, attempt: call.attempt - 1 }))
        return hedgeRefusal;
      const { task, credits } = own;
      const nowMs = clock.nowMs();
      const targetMs = call.targetAtMs - call.arrivedAtMs;
      const isAtRisk = nowMs - call.arrivedAtMs >= targetMs * atRiskTargetShare;
      const promisedSlots = credits.promisedSlots();
      if (!task.pool.mayHedge(call.rank, isAtRisk, promisedSlots, nowMs)) return hedgeRefusal;
      if (!retries.trySpendOnHedge()) return hedgeRefusal;
      const placement = await task.place(call, 'homeOnly', 0, () => false);
      if (placement.place === 'refused') retries.refundHedge();
      return placement;
    },
  };
}
