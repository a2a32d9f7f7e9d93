import type { MembershipView } from './hostTypes.js';

/**
 * Lists the hosts that a request to all hosts goes to: everyone but this host and those that left.
 *
 * @param membership - membership as this host sees it
 */
export function otherLiveHosts(membership: MembershipView): string[] {
  const ownHostId = membership.self().hostId;
  return membership
    .hosts()
    .filter((host) => host.hostId !== ownHostId && host.state !== 'left')
    .map((host) => host.hostId);
}
