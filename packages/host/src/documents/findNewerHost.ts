import { isParticipating } from '@buckthornlug/core/membership/memberStamp.js';
import type { ControlVersions } from '@buckthornlug/core/spreading/spreadingTypes.js';

import type { HostRecord, MembershipView } from '../runtime/hostTypes.js';

/**
 * Finds the host with the newest document among the participating hosts with a newer document or
 * newer shift steps than this host.
 *
 * @param have - versions that this host holds
 */
export function findNewerHost(
  ownHostId: string,
  membership: Pick<MembershipView, 'hosts'>,
  have: ControlVersions,
): HostRecord | undefined {
  let newest: HostRecord | undefined;
  for (const host of membership.hosts()) {
    if (!isParticipating(host.state) || host.hostId === ownHostId) continue;
    const isNewer =
      host.documentVersion > have.version || (host.shiftRevision ?? 0) > have.shiftRevision;
    if (isNewer && host.documentVersion >= (newest?.documentVersion ?? 0)) newest = host;
  }
  return newest;
}
