import { OwnerWindow } from '@buckthornlug/core/pools/ownerWindow.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  CallOutcome,
  ForecastAdmission,
  PendingCall,
  PlaceCall,
  Placement,
} from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { createForecastAdmission } from './forecastAdmission.js';
import type { CreditTask } from './creditTask.js';
import type { PoolOwners } from './poolOwners.js';
import type { PoolTask } from './poolTask.js';
import type { RemoteLinks } from './remoteLinks.js';
import { Reservations } from './reservations.js';
import type { CallReach } from './slotsTypes.js';

const retryAfterMs = 200;
const fullSharePermille = 1000;

/** Pool of a service on this host, with its credits. */
export interface OwnPool {
  readonly task: PoolTask;
  readonly credits: CreditTask;
}

/** Dependencies of the placement of calls. */
export interface PlacementParts {
  readonly getOrCreatePool: (service: string) => OwnPool | undefined;
  readonly owners: PoolOwners;
  readonly links: RemoteLinks;
  /** Called for each call that came from a caller. */
  readonly recordCall: (call: PendingCall) => void;
  /** Called for each call that is forwarded to the pool owner, which decides on it. */
  readonly recordForwardedCall: (call: PendingCall) => void;
}

function toRefusal(reason: Failure): Placement {
  return { place: 'refused', failure: reason };
}

/**
 * Creates the placement of calls on a slot of this host, at the pool owner of the zone or in
 * another zone, and the early admission check.
 */
export function createPlacement(
  context: HostContext,
  parts: HostParts,
  placementParts: PlacementParts,
): { readonly placeCall: PlaceCall; readonly forecastAdmission: ForecastAdmission } {
  const { settings, clock } = context;
  const { getOrCreatePool, owners, links } = placementParts;
  const reservations = new Reservations();
  const ownerWindow = new OwnerWindow();

  /** Chooses at random where a call of this zone may run, by the shares that are shifted. */
  const chooseReach = (service: string): CallReach => {
    const isMoved = (scope: 'zone' | 'region', place: string) =>
      context.random() * fullSharePermille < parts.shifts.movedPermille(service, scope, place);
    if (isMoved('region', settings.region)) return 'otherRegions';
    if (isMoved('zone', settings.availabilityZone)) return 'otherZones';
    return 'anywhere';
  };

  /** Longest time that a call may wait for a credit. */
  const creditWaitMs = (call: PendingCall, own: OwnPool, reach: CallReach): number => {
    if (reach === 'homeOnly') return 0;
    const leftMs = call.targetAtMs - clock.nowMs();
    return own.credits.creditWaitMs(call.rank, Math.max(0, leftMs));
  };

  const placeHere = (call: PendingCall, own: OwnPool, reach: CallReach): Promise<Placement> => {
    const waitMs = creditWaitMs(call, own, reach);
    return own.task.place(call, reach, waitMs, (waiting) => own.credits.trySendWithCredit(waiting));
  };

  /**
   * Places a call; if its caller is in another region, within the cap on shifted calls.
   *
   * @param isAdmitted - whether the early admission check has already admitted the call
   */
  const placeUnderCap = async (
    call: PendingCall,
    own: OwnPool,
    reach: CallReach,
    isAdmitted = false,
  ): Promise<Placement> => {
    const { service, originRegion } = call;
    if (originRegion === settings.region) return placeHere(call, own, reach);
    const capRefusal = isAdmitted ? undefined : parts.shifts.admitShifted(service, originRegion);
    if (capRefusal !== undefined) return toRefusal(capRefusal);
    const placement = await placeHere(call, own, reach);
    if (placement.place !== 'backend') return placement;
    const dispatchRefusal = parts.shifts.dispatchShifted(service, originRegion);
    if (dispatchRefusal === undefined) return placement;
    placement.release({ result: 'notRun', elapsedMs: 0 });
    return toRefusal(dispatchRefusal);
  };

  /** Places a call of a caller or of a host of this zone, with its reservation if it has one. */
  const placeFromCaller = (call: PendingCall, own: OwnPool): Promise<Placement> => {
    const reservation = reservations.take(call.requestId);
    const { place, reach } = reservation ?? {};
    const isUsable = place !== undefined && clock.nowMs() < (place.useBeforeMs ?? 0);
    if (isUsable) return Promise.resolve(place);
    return placeUnderCap(call, own, reach ?? chooseReach(call.service), reach !== undefined);
  };

  const placeFromOtherZone = (call: PendingCall, own: OwnPool): Promise<Placement> => {
    if (!own.credits.trySpendGranted(call.creditId)) {
      const retryHint = { retryAfterMs };
      return Promise.resolve(
        toRefusal(failure('BL3012', 'the credit is missing, unknown or expired', retryHint)),
      );
    }
    const roundTripMs = 2 * links.delayToRegionMs(call.originRegion);
    return placeUnderCap({ ...call, targetAtMs: call.targetAtMs + roundTripMs }, own, 'homeOnly');
  };

  /** Pool owner to forward a call to; undefined if this host decides on the call. */
  const findForwardOwner = (call: PendingCall, own: OwnPool): string | undefined => {
    const owner = owners.localOwner(call.service, call.excluded);
    const isDecidedHere = owner === settings.hostId || own.task.hasUsableSlots();
    return isDecidedHere ? undefined : owner;
  };

  /** Adjusts the window of the pool owner to the outcome of a once-only call that it got. */
  const recordOwnerOutcome = (call: PendingCall, hostId: string, outcome: CallOutcome): void => {
    if (call.execution !== 'once' || call.attempt > 0) return;
    if (outcome.result === 'answered') ownerWindow.recordAnswer(call);
    if (outcome.failure?.code !== 'BL3002') return;
    ownerWindow.recordRefusal(call, hostId, outcome.failure, clock.nowMs());
  };

  const forwardToOwner = (call: PendingCall, hostId: string): Promise<Placement> => {
    placementParts.recordForwardedCall(call);
    const release = (outcome: CallOutcome) => recordOwnerOutcome(call, hostId, outcome);
    return Promise.resolve({ place: 'host', hostId, release });
  };

  const placeCall: PlaceCall = (call) => {
    const own = getOrCreatePool(call.service);
    if (own === undefined) {
      return Promise.resolve(toRefusal(failure('BL3001', `service "${call.service}"`)));
    }
    if (call.origin === 'otherZone') return placeFromOtherZone(call, own);
    if (call.origin === 'caller') placementParts.recordCall(call);
    const owner = findForwardOwner(call, own);
    if (owner === undefined) return placeFromCaller(call, own);
    if (call.origin === 'caller') return forwardToOwner(call, owner);
    const detail = `host "${owner}" owns the pool`;
    return Promise.resolve(toRefusal(failure('BL3003', detail, { retryAfterMs })));
  };

  const forecastAdmission = createForecastAdmission(context, parts, {
    getOrCreatePool,
    findForwardOwner,
    reservations,
    chooseReach,
    creditWaitMs,
    ownerWindow,
  });
  return { placeCall, forecastAdmission };
}
