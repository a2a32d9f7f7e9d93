import { hashText } from '../hash/textHash.js';
import type { CompiledNetwork } from '../table/tableTypes.js';

/** Fields of a host that the order depends on. */
export interface LookupHost {
  readonly hostId: string;
  readonly availabilityZone: string;
}

/** What a look-up asks for. */
export interface LookupQuery {
  readonly service: string;
  /** Zone of the caller. */
  readonly availabilityZone: string;
  /** Host that owns the pool of the service in that zone; undefined if there is none. */
  readonly poolOwnerId: string | undefined;
}

/** Groups the other zones by delay, the nearest first; zones without a known delay come last. */
function groupByDelay(
  network: CompiledNetwork,
  ownZone: string,
  zones: Iterable<string>,
): ReadonlyMap<number, readonly string[]> {
  const tiers = new Map<number, string[]>();
  const add = (delayMs: number, zone: string) => {
    const tier = tiers.get(delayMs);
    if (tier === undefined) tiers.set(delayMs, [zone]);
    else tier.push(zone);
  };
  const addedZones = new Set([ownZone]);
  for (const { availabilityZone, oneWayDelayMs } of network.zonesByDelay.get(ownZone) ?? []) {
    if (addedZones.has(availabilityZone)) continue;
    addedZones.add(availabilityZone);
    add(oneWayDelayMs, availabilityZone);
  }
  for (const zone of zones) {
    if (!addedZones.has(zone)) add(Number.POSITIVE_INFINITY, zone);
  }
  return tiers;
}

/**
 * Orders the hosts that a caller should use: the pool owner of its zone, the other hosts of the zone,
 * then the hosts of other zones by delay. Hosts with the same delay are ordered by a hash, which
 * differs from zone to zone. Zones beyond the last host needed are skipped.
 *
 * @param network - compiled section `network`
 * @param hostsByZone - hosts that take calls
 * @param query - service, zone of the caller and pool owner
 * @param maxHosts - largest number of hosts returned
 */
export function orderHosts<Host extends LookupHost>(
  network: CompiledNetwork,
  hostsByZone: ReadonlyMap<string, readonly Host[]>,
  query: LookupQuery,
  maxHosts: number,
): Host[] {
  const { service, availabilityZone, poolOwnerId } = query;
  const inHashOrder = (hosts: readonly Host[]): Host[] =>
    hosts
      .map((host) => ({ host, hash: hashText(`${availabilityZone} ${service} ${host.hostId}`) }))
      .sort((one, other) => one.hash - other.hash)
      .map((entry) => entry.host);
  const ownHosts = hostsByZone.get(availabilityZone) ?? [];
  const isOwner = (host: Host) => host.hostId === poolOwnerId;
  const ordered = ownHosts.filter(isOwner);
  ordered.push(...inHashOrder(ownHosts.filter((host) => !isOwner(host))));
  for (const zones of groupByDelay(network, availabilityZone, hostsByZone.keys()).values()) {
    if (ordered.length >= maxHosts) break;
    ordered.push(...inHashOrder(zones.flatMap((zone) => hostsByZone.get(zone) ?? [])));
  }
  return ordered.slice(0, maxHosts);
}
