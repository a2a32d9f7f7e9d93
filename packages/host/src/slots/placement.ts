import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  ForeseeCall,
  PendingCall,
  PlaceCall,
  Placement,
} from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { CreditTask } from './creditTask.js';
import type { PoolOwners } from './poolOwners.js';
import type { PoolTask } from './poolTask.js';
import type { RemoteLinks } from './remoteLinks.js';
import type { CallReach } from './slotsTypes.js';

const retryAfterMs = 200;
const wholePermille = 1000;
/** Outlook of a call on which the decision falls elsewhere or later. */
const noOutlook = { end: () => undefined };

/** A pool of this host with its credits. */
export interface OwnPool {
  readonly task: PoolTask;
  readonly credits: CreditTask;
}

/** What the placement is given. */
export interface PlacementParts {
  readonly poolOf: (service: string) => OwnPool | undefined;
  readonly owners: PoolOwners;
  readonly links: RemoteLinks;
  /** Told of each call that came from a caller. */
  readonly noteCall: (call: PendingCall) => void;
  /** Told that the decision on a call was left to the pool owner. */
  readonly noteForwarded: (call: PendingCall) => void;
}

function refused(problem: Failure): Placement {
  return { place: 'refused', failure: problem };
}

/**
 * Creates the placement of calls: own slots, the pool owner of the zone, or another zone.
 *
 * @param context - context of the host
 * @param parts - shifts
 * @param placementParts - pools, owners and links
 */
export function createPlacement(
  context: HostContext,
  parts: HostParts,
  placementParts: PlacementParts,
): { readonly placeCall: PlaceCall; readonly foreseeCall: ForeseeCall } {
  const { settings, clock } = context;
  const { poolOf, owners, links } = placementParts;

  /** Where a call of this zone may run, by the shifts. */
  const reachOf = (service: string): CallReach => {
    const moved = (scope: 'zone' | 'region', place: string) =>
      context.random() * wholePermille < parts.shifts.movedPermille(service, scope, place);
    if (moved('region', settings.region)) return 'otherRegions';
    if (moved('zone', settings.availabilityZone)) return 'otherZones';
    return 'anywhere';
  };

  const placeHere = (call: PendingCall, own: OwnPool, reach: CallReach): Promise<Placement> => {
    const leftMs = call.targetAtMs - clock.nowMs();
    const creditWaitMs =
      reach === 'homeOnly' ? 0 : own.credits.creditWaitMs(call.rank, Math.max(0, leftMs));
    return own.task.place(call, reach, creditWaitMs, (waiting) => own.credits.tryCredit(waiting));
  };

  /** Places a call under the cap on shifted traffic, where its caller is of another region. */
  const placeUnderCap = async (
    call: PendingCall,
    own: OwnPool,
    reach: CallReach,
  ): Promise<Placement> => {
    const { service, originRegion } = call;
    if (originRegion === settings.region) return placeHere(call, own, reach);
    const overCap = parts.shifts.admitShifted(service, originRegion);
    if (overCap !== undefined) return refused(overCap);
    const placement = await placeHere(call, own, reach);
    if (placement.place !== 'backend') return placement;
    const overCapAtLast = parts.shifts.dispatchShifted(service, originRegion);
    if (overCapAtLast === undefined) return placement;
    placement.release({ result: 'notRun', elapsedMs: 0 });
    return refused(overCapAtLast);
  };

  /** Places a call of this zone, or one whose caller came here from another region. */
  const placeFromCaller = (call: PendingCall, own: OwnPool): Promise<Placement> =>
    placeUnderCap(call, own, reachOf(call.service));

  const fromOtherZone = (call: PendingCall, own: OwnPool): Promise<Placement> => {
    if (!own.credits.spendGranted(call.creditId)) {
      const more = { retryAfterMs };
      return Promise.resolve(refused(failure('BL3012', 'the credit is not valid here', more)));
    }
    const linkMs = 2 * links.delayToRegionMs(call.originRegion);
    return placeUnderCap({ ...call, targetAtMs: call.targetAtMs + linkMs }, own, 'homeOnly');
  };

  const toOwner = (call: PendingCall, hostId: string): Promise<Placement> => {
    placementParts.noteForwarded(call);
    return Promise.resolve({ place: 'host', hostId, release: () => undefined });
  };

  const foresee: ForeseeCall = (call) => {
    const own = poolOf(call.service);
    const owner = owners.localOwner(call.service, call.excluded);
    const isOwner = owner === undefined || owner === settings.hostId;
    if (own === undefined || !(isOwner || own.task.holdsSlots())) return noOutlook;
    if (reachOf(call.service) !== 'anywhere') return noOutlook;
    if (own.credits.mayLeave(call.rank, call.targetAtMs - clock.nowMs())) return noOutlook;
    return own.task.foresee(call);
  };

  const placeCall: PlaceCall = (call) => {
    const own = poolOf(call.service);
    if (own === undefined) {
      return Promise.resolve(refused(failure('BL3001', `service "${call.service}"`)));
    }
    if (call.origin === 'otherZone') return fromOtherZone(call, own);
    if (call.origin === 'caller') placementParts.noteCall(call);
    const owner = owners.localOwner(call.service, call.excluded);
    const isOwner = owner === undefined || owner === settings.hostId;
    if (isOwner || own.task.holdsSlots()) return placeFromCaller(call, own);
    if (call.origin === 'caller') return toOwner(call, owner);
    const detail = `host "${owner}" owns the pool`;
    return Promise.resolve(refused(failure('BL3003', detail, { retryAfterMs })));
  };

  return { placeCall, foreseeCall: foresee };
}
