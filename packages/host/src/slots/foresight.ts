import type { OwnerWindow } from '@buckthornlug/core/pools/ownerWindow.js';
import type {
  AdmissionForecast,
  ForecastAdmission,
  PendingCall,
  Placement,
} from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { OwnPool, PlacementParts } from './placement.js';
import type { Reservation, Reservations } from './reservations.js';
import type { CallReach } from './slotsTypes.js';

/** Outlook of a call on which nothing is known before it asks for its place. */
const noOutlook: AdmissionForecast = { end: () => undefined };

/** What the foresight shares with the placement. */
export interface ForesightParts extends Pick<PlacementParts, 'poolOf'> {
  /** Owner of the pool where the decision on a call is left to another host. */
  readonly ownerElsewhere: (call: PendingCall, own: OwnPool) => string | undefined;
  readonly reservations: Reservations;
  readonly reachOf: (service: string) => CallReach;
  readonly creditWaitMs: (call: PendingCall, own: OwnPool, reach: CallReach) => number;
  /** Limit of the calls under way to the owner of the pool. */
  readonly ownerWindow: OwnerWindow;
}

/**
 * Creates the foresight of refusals: it takes the decisions of the placement that need no slot before
 * the call costs a commit, and keeps them for the call.
 *
 * @param context - context of the host
 * @param parts - shifts
 * @param foresightParts - pools, owners and reservations
 */
export function createForesight(
  context: HostContext,
  parts: HostParts,
  foresightParts: ForesightParts,
): ForecastAdmission {
  const { settings, clock } = context;
  const { poolOf, reservations, reachOf, ownerWindow } = foresightParts;

  const reserve = ({ requestId }: PendingCall, reservation: Reservation): AdmissionForecast => {
    reservations.add(requestId, reservation);
    return { end: () => reservations.drop(requestId) };
  };

  const outlookOf = (
    call: PendingCall,
    own: OwnPool,
    reach: CallReach,
    placement: Placement,
  ): AdmissionForecast => {
    if (placement.place === 'refused') return { ...noOutlook, failure: placement.failure };
    if (placement.place === 'backend') {
      placement.release({ result: 'notRun', elapsedMs: 0 });
      return reserve(call, { reach });
    }
    const giveBack = () => own.credits.giveBack(placement, call.rank);
    return reserve(call, { reach, place: placement, giveBack });
  };

  const foreseeHere = async (call: PendingCall, own: OwnPool): Promise<AdmissionForecast> => {
    const { service, originRegion } = call;
    if (originRegion !== settings.region) {
      const overCap = parts.shifts.admitShifted(service, originRegion);
      if (overCap !== undefined) return { ...noOutlook, failure: overCap };
    }
    const reach = reachOf(service);
    const atHome = reach === 'anywhere' ? own.task.foresee(call) : undefined;
    if (atHome !== undefined && atHome.failure === undefined) {
      return reserve(call, { reach, endClaim: atHome.end });
    }
    if (clock.nowMs() >= call.deadlineAtMs) return atHome ?? noOutlook;
    const waitMs = foresightParts.creditWaitMs(call, own, reach);
    const tryCredit = own.credits.tryCredit.bind(own.credits);
    const placement = await own.task.awaitCredit(call, reach, waitMs, atHome?.failure, tryCredit);
    return outlookOf(call, own, reach, placement);
  };

  const foreseeAtOwner = (call: PendingCall, ownerHostId: string): AdmissionForecast => {
    const problem = ownerWindow.admit(call, ownerHostId, clock.nowMs());
    if (problem !== undefined) return { ...noOutlook, failure: problem };
    return { end: () => ownerWindow.release(call) };
  };

  return async (call) => {
    const own = poolOf(call.service);
    if (own === undefined) return noOutlook;
    const owner = foresightParts.ownerElsewhere(call, own);
    return owner === undefined ? foreseeHere(call, own) : foreseeAtOwner(call, owner);
  };
}
