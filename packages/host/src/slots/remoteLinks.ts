import { LinkBudget } from '@buckthornlug/core/credits/linkBudget.js';
import { listRemoteZones, type RemoteZone } from '@buckthornlug/core/credits/remoteZones.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';

/** Bytes that a call and its answer are expected to take on a link. */
const expectedCallBytes = 65_536;

/** Other zones as seen from this one, and the limits of the links to them. */
export interface RemoteLinks {
  /** Zones that may take calls of a service, the nearest first. */
  readonly zonesFor: (service: string) => readonly RemoteZone[];
  /** Takes the bytes of a call out of the limit of the link to a region. */
  readonly trySpend: (region: string) => boolean;
  /** One-way delay to a region; 0 for the own one. */
  readonly delayToRegionMs: (region: string) => number;
}

/**
 * Creates the view of links. A host may use a fixed part of each link: its share among the hosts of
 * both regions.
 *
 * @param context - place of the host
 * @param parts - document, membership and shifts
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
