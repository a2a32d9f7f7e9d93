import { sameNames } from '@buckthornlug/core/lists/sameNames.js';
import { rankPoolHosts } from '@buckthornlug/core/slots/poolOwner.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext, HostRecord } from '../runtime/hostTypes.js';
import { takesWork } from '../runtime/takesWork.js';

/** Knows which host owns which pool, by the membership. */
export interface PoolOwners {
  /** Owner of a pool; undefined where no host of the zone is alive. */
  readonly ownerOf: (availabilityZone: string, service: string) => string | undefined;
  /** Owner of a pool of the own zone, leaving out hosts that failed a call. */
  readonly localOwner: (service: string, excluded: readonly string[]) => string | undefined;
  /** Number that rises with each change of the hosts that may own pools of the own zone. */
  readonly localVersion: () => number;
  /** Takes this host out, because it stops. */
  readonly leave: () => void;
}

/** Hosts of a zone that may own pools, with those of each service in order. */
interface ZoneOwners {
  readonly hostIds: readonly string[];
  readonly ranked: Map<string, readonly string[]>;
}

/**
 * Creates the view of owners. The membership is walked once after each of its changes; the orders of
 * a zone are kept as long as the same hosts of it may own pools.
 *
 * @param context - zone of this host
 * @param parts - membership
 */
export function createPoolOwners(
  context: Pick<HostContext, 'settings'>,
  parts: Pick<HostParts, 'membership'>,
): PoolOwners {
  const { settings } = context;
  let zones = new Map<string, ZoneOwners>();
  let seen: readonly HostRecord[] | undefined;
  let localVersion = 1;
  let isLeaving = false;

  const mayOwn = (host: HostRecord): boolean => {
    if (host.hostId === settings.hostId) return !isLeaving;
    return takesWork(host);
  };

  const hostIdsByZone = (hosts: readonly HostRecord[]): Map<string, string[]> => {
    const byZone = new Map<string, string[]>();
    for (const host of hosts) {
      if (!mayOwn(host)) continue;
      const hostIds = byZone.get(host.availabilityZone);
      if (hostIds === undefined) byZone.set(host.availabilityZone, [host.hostId]);
      else hostIds.push(host.hostId);
    }
    return byZone;
  };

  const regroup = (hosts: readonly HostRecord[]): void => {
    const before = zones;
    zones = new Map();
    for (const [zone, hostIds] of hostIdsByZone(hosts)) {
      const known = before.get(zone);
      const isSame = known !== undefined && sameNames(known.hostIds, hostIds);
      zones.set(zone, isSame ? known : { hostIds, ranked: new Map() });
    }
    const local = settings.availabilityZone;
    if (zones.get(local) !== before.get(local)) localVersion += 1;
  };

  /** Takes over the membership where it has changed. */
  const refresh = (): void => {
    const hosts = parts.membership.hosts();
    if (hosts === seen) return;
    seen = hosts;
    regroup(hosts);
  };

  const rankedHosts = (availabilityZone: string, service: string): readonly string[] => {
    refresh();
    const zone = zones.get(availabilityZone);
    if (zone === undefined) return [];
    const known = zone.ranked.get(service);
    if (known !== undefined) return known;
    const hosts = rankPoolHosts(availabilityZone, service, zone.hostIds);
    zone.ranked.set(service, hosts);
    return hosts;
  };

  return {
    ownerOf: (availabilityZone, service) => rankedHosts(availabilityZone, service)[0],
    localOwner: (service, excluded) => {
      for (const hostId of rankedHosts(settings.availabilityZone, service)) {
        if (!excluded.includes(hostId)) return hostId;
      }
      return undefined;
    },
    localVersion: () => {
      refresh();
      return localVersion;
    },
    leave: () => {
      isLeaving = true;
      seen = undefined;
    },
  };
}
