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

/** Forecast without a refusal or a reservation. */
const emptyForecast: AdmissionForecast = { end: () => undefined };

/** State and functions shared with the placement of calls. */
export interface ForecastAdmissionParts extends Pick<PlacementParts, 'getOrCreatePool'> {
  /** Pool owner to forward a call to; undefined if this host decides on the call. */
  readonly findForwardOwner: (call: PendingCall, own: OwnPool) => string | undefined;
  readonly reservations: Reservations;
  readonly chooseReach: (service: string) => CallReach;
  readonly creditWaitMs: (call: PendingCall, own: OwnPool, reach: CallReach) => number;
  /** Limit on the calls in flight to the pool owner. */
  readonly ownerWindow: OwnerWindow;
}

/**
 * Creates the early admission check. It makes the placement decisions that need no slot before the
 * call costs a ledger commit, and reserves their result for the placement of the call.
 */
export function createForecastAdmission(
  context: HostContext,
  parts: HostParts,
  forecastParts: ForecastAdmissionParts,
): ForecastAdmission {
  const { settings, clock } = context;
  const { getOrCreatePool, reservations, chooseReach, ownerWindow } = forecastParts;

  const addReservation = (
    { requestId }: PendingCall,
    reservation: Reservation,
  ): AdmissionForecast => {
    reservations.add(requestId, reservation);
    return { end: () => reservations.drop(requestId) };
  };

  const toForecast = (
    call: PendingCall,
    own: OwnPool,
    reach: CallReach,
    placement: Placement,
  ): AdmissionForecast => {
    if (placement.place === 'refused') return { ...emptyForecast, failure: placement.failure };
    if (placement.place === 'backend') {
      placement.release({ result: 'notRun', elapsedMs: 0 });
      return addReservation(call, { reach });
    }
    const returnCredit = () => own.credits.returnCredit(placement, call.rank);
    return addReservation(call, { reach, place: placement, returnCredit });
  };

  const forecastHere = async (call: PendingCall, own: OwnPool): Promise<AdmissionForecast> => {
    const { service, originRegion } = call;
    if (originRegion !== settings.region) {
      const capRefusal = parts.shifts.admitShifted(service, originRegion);
      if (capRefusal !== undefined) return { ...emptyForecast, failure: capRefusal };
    }
    const reach = chooseReach(service);
    const localForecast = reach === 'anywhere' ? own.task.forecastAdmission(call) : undefined;
    if (localForecast !== undefined && localForecast.failure === undefined) {
      return addReservation(call, { reach, endForecast: localForecast.end });
    }
    if (clock.nowMs() >= call.deadlineAtMs) return localForecast ?? emptyForecast;
    const waitMs = forecastParts.creditWaitMs(call, own, reach);
    const trySendWithCredit = own.credits.trySendWithCredit.bind(own.credits);
    const placement = await own.task.awaitCredit(
      call,
      reach,
      waitMs,
      localForecast?.failure,
      trySendWithCredit,
    );
    return toForecast(call, own, reach, placement);
  };

  const forecastAtOwner = (call: PendingCall, ownerHostId: string): AdmissionForecast => {
    const refusal = ownerWindow.admit(call, ownerHostId, clock.nowMs());
    if (refusal !== undefined) return { ...emptyForecast, failure: refusal };
    return { end: () => ownerWindow.release(call) };
  };

  return async (call) => {
    const own = getOrCreatePool(call.service);
    if (own === undefined) return emptyForecast;
    const owner = forecastParts.findForwardOwner(call, own);
    return owner === undefined ? forecastHere(call, own) : forecastAtOwner(call, owner);
  };
}
