import { hashText } from '../hash/textHash.js';
import type { NetworkEntry } from '../table/tableTypes.js';

/** What the order of a look-up needs to know of a host. */
export interface LookupHost {
  readonly hostId: string;
  readonly availabilityZone: string;
}

/** A look-up: who asks, and who owns the pool of the zone. */
export interface LookupQuestion {
  readonly service: string;
  readonly availabilityZone: string;
  readonly poolOwnerId: string | undefined;
}

const ownerDistance = -2;
const ownZoneDistance = -1;

/**
 * Orders the hosts that a caller should use: the pool owner of its zone, the other hosts of the zone,
 * then the hosts of other zones by delay. Hosts of equal distance stand in an order that differs from
 * zone to zone.
 *
 * @param network - compiled section `network`
 * @param hosts - hosts that take calls
 * @param question - who asks for what
 */
export function orderHosts<Host extends LookupHost>(
  network: NetworkEntry,
  hosts: readonly Host[],
  question: LookupQuestion,
): Host[] {
  const { service, availabilityZone, poolOwnerId } = question;
  const zones = network.zonesByDelay.get(availabilityZone) ?? [];
  const delays = new Map(zones.map((zone) => [zone.availabilityZone, zone.oneWayDelayMs]));
  const distanceOf = (host: Host): number => {
    if (host.availabilityZone !== availabilityZone) {
      return delays.get(host.availabilityZone) ?? Number.POSITIVE_INFINITY;
    }
    return host.hostId === poolOwnerId ? ownerDistance : ownZoneDistance;
  };
  const ranked = hosts.map((host) => ({
    host,
    distance: distanceOf(host),
    tie: hashText(`${availabilityZone} ${service} ${host.hostId}`),
  }));
  ranked.sort((one, other) => {
    if (one.distance !== other.distance) return one.distance < other.distance ? -1 : 1;
    return one.tie - other.tie;
  });
  return ranked.map((entry) => entry.host);
}
