import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { MembershipView } from './hostTypes.js';

/**
 * Lists the hosts to contact in a request to all hosts: every host of the membership and every peer
 * of the settings, except this host and hosts that have left.
 */
export function listOtherHosts(membership: MembershipView, settings: Settings): string[] {
  const hostIds = new Set(settings.peers.map((peer) => peer.hostId));
  for (const host of membership.hosts()) {
    if (host.state === 'left') hostIds.delete(host.hostId);
    else hostIds.add(host.hostId);
  }
  hostIds.delete(settings.hostId);
  return [...hostIds];
}
