import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { MembershipView } from './hostTypes.js';

/**
 * Lists the hosts that a request to all hosts goes to: everyone in the membership or the settings
 * but this host and those that left.
 *
 * @param membership - membership as this host sees it
 * @param settings - settings with the hosts to start from
 */
export function otherLiveHosts(membership: MembershipView, settings: Settings): string[] {
  const hostIds = new Set(settings.peers.map((peer) => peer.hostId));
  for (const host of membership.hosts()) {
    if (host.state === 'left') hostIds.delete(host.hostId);
    else hostIds.add(host.hostId);
  }
  hostIds.delete(settings.hostId);
  return [...hostIds];
}
