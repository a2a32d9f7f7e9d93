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
  /** Takes this host out, because it stops. */
  readonly leave: () => void;
}

/**
 * Creates the view of owners.
 *
 * @param context - zone of this host
 * @param parts - membership
 */
export function createPoolOwners(context: HostContext, parts: HostParts): PoolOwners {
  const { settings } = context;
  const ranked = new Map<string, readonly string[]>();
  let isLeaving = false;
  parts.membership.onChange(() => ranked.clear());

  const mayOwn = (host: HostRecord): boolean => {
    if (host.hostId === settings.hostId) return !isLeaving;
    return takesWork(host);
  };

  const rankedHosts = (availabilityZone: string, service: string): readonly string[] => {
    const key = `${availabilityZone}/${service}`;
    const known = ranked.get(key);
    if (known !== undefined) return known;
    const hostIds: string[] = [];
    for (const host of parts.membership.hosts()) {
      if (host.availabilityZone === availabilityZone && mayOwn(host)) hostIds.push(host.hostId);
    }
    const hosts = rankPoolHosts(availabilityZone, service, hostIds);
    ranked.set(key, hosts);
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
    leave: () => {
      isLeaving = true;
      ranked.clear();
    },
  };
}
