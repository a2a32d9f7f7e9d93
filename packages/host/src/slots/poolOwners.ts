import { groupByZone } from '@buckthornlug/core/lists/groupByZone.js';
import { ZoneOwners } from '@buckthornlug/core/slots/zoneOwners.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext, HostRecord } from '../runtime/hostTypes.js';
import { acceptsNewWork } from '../runtime/acceptsNewWork.js';

/** Owners of the pools, determined from the membership. */
export interface PoolOwners {
  /** Owner of a pool; undefined if the zone has no host that may own pools. */
  readonly ownerOf: (availabilityZone: string, service: string) => string | undefined;
  /** Owner of a pool of the own zone, without hosts that failed a call. */
  readonly localOwner: (service: string, excluded: readonly string[]) => string | undefined;
  /** Version that increases when the hosts that may own pools of the own zone change. */
  readonly localVersion: () => number;
  /** Excludes this host, which is stopping. */
  readonly leave: () => void;
}

/**
 * Creates the view of pool owners. The hosts are scanned once after each change of the membership;
 * owners that the change does not affect stay cached.
 */
export function createPoolOwners(
  context: Pick<HostContext, 'settings'>,
  parts: Pick<HostParts, 'membership'>,
): PoolOwners {
  const { settings } = context;
  const zones = new Map<string, ZoneOwners>();
  let knownHosts: readonly HostRecord[] | undefined;
  let localVersion = 1;
  let isLeaving = false;

  const mayOwn = (host: HostRecord): boolean => {
    if (host.hostId === settings.hostId) return !isLeaving;
    return acceptsNewWork(host);
  };

  const updateZones = (hosts: readonly HostRecord[]): void => {
    const byZone = groupByZone(hosts, mayOwn);
    for (const zone of byZone.keys()) {
      if (!zones.has(zone)) zones.set(zone, new ZoneOwners(zone));
    }
    for (const [zone, owners] of zones) {
      const isChanged = owners.change(byZone.get(zone)?.map((host) => host.hostId) ?? []);
      if (isChanged && zone === settings.availabilityZone) localVersion += 1;
    }
  };

  /** Applies the membership if it has changed. */
  const refresh = (): void => {
    const hosts = parts.membership.hosts();
    if (hosts === knownHosts) return;
    knownHosts = hosts;
    updateZones(hosts);
  };

  const findZoneOwners = (availabilityZone: string): ZoneOwners | undefined => {
    refresh();
    return zones.get(availabilityZone);
  };

  return {
    ownerOf: (availabilityZone, service) => findZoneOwners(availabilityZone)?.ownerOf(service),
    localOwner: (service, excluded) =>
      findZoneOwners(settings.availabilityZone)?.ownerWithout(service, excluded),
    localVersion: () => {
      refresh();
      return localVersion;
    },
    leave: () => {
      isLeaving = true;
      knownHosts = undefined;
    },
  };
}
