import { LinkBudget } from '@buckthornlug/core/credits/linkBudget.js';
import { listRemoteZones, type RemoteZone } from '@buckthornlug/core/credits/remoteZones.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';

/** Expected size of a call and its answer on a link. */
const expectedCallBytes = 65_536;

/** Other zones, and the limits and delays of the links to them. */
export interface RemoteLinks {
  /** Zones that calls of a service may be sent to, the nearest first. */
  readonly zonesFor: (service: string) => readonly RemoteZone[];
  /** Spends the bytes of a call from the budget of the link to a region, if enough are left. */
  readonly trySpend: (region: string) => boolean;
  /** One-way delay to a region; 0 for the own region. */
  readonly delayToRegionMs: (region: string) => number;
}

/**
 * Creates the view of remote zones and links. Each link limit is divided equally among the hosts of
 * both regions.
 */
export function createRemoteLinks(context: HostContext, parts: HostParts): RemoteLinks {
  const { settings, clock } = context;
  const zones = new Map<string, readonly RemoteZone[]>();
  const budgets = new Map<string, LinkBudget | undefined>();
  parts.document.onChange(() => {
    zones.clear();
    budgets.clear();
  });
  parts.membership.onChange(() => budgets.clear());

  const isOpen = (service: string) => (region: string, zone: string) => {
    const traffic = parts.document.current()?.document.traffic[service];
    if (traffic === undefined) return true;
    return !traffic.drainedRegions.includes(region) && !traffic.drainedZones.includes(zone);
  };

  const findLink = (region: string) =>
    parts.document
      .current()
      ?.document.network.links.find(
        ({ from, to }) =>
          (from === settings.region && to === region) ||
          (to === settings.region && from === region),
      );

  const createBudget = (region: string): LinkBudget | undefined => {
    const link = findLink(region);
    if (link === undefined) return undefined;
    const sharingHosts = parts.membership
      .hosts()
      .filter((host) => host.region === region || host.region === settings.region);
    return new LinkBudget(link.linkBytesPerS / Math.max(1, sharingHosts.length), clock.nowMs());
  };

  return {
    zonesFor: (service) => {
      const known = zones.get(service);
      if (known !== undefined) return known;
      const network = parts.document.current()?.document.network;
      if (network === undefined) return [];
      const { region, availabilityZone } = settings;
      const listed = listRemoteZones(network, region, availabilityZone, isOpen(service));
      zones.set(service, listed);
      return listed;
    },
    trySpend: (region) => {
      if (region === settings.region) return true;
      if (!budgets.has(region)) budgets.set(region, createBudget(region));
      return budgets.get(region)?.trySpend(expectedCallBytes, clock.nowMs()) ?? true;
    },
    delayToRegionMs: (region) => findLink(region)?.oneWayDelayMs ?? 0,
  };
}
