import { isParticipating } from '@buckthornlug/core/membership/memberStamp.js';

import type { HostContext, HostRecord } from '../runtime/hostTypes.js';

/**
 * Control hosts, the nearest first; the peers of the settings if none is known.
 *
 * @param settings - settings of this host
 * @param hosts - hosts of the membership
 */
export function controlHostsByDistance(
  settings: HostContext['settings'],
  hosts: readonly HostRecord[],
): readonly string[] {
  const distance = (host: HostRecord) => {
    if (host.availabilityZone === settings.availabilityZone) return 0;
    return host.region === settings.region ? 1 : 2;
  };
  const controlHosts = hosts.filter(
    (host) => host.roles.includes('control') && isParticipating(host.state),
  );
  if (controlHosts.length === 0) return settings.peers.map(({ hostId }) => hostId);
  return controlHosts
    .map((host) => ({ hostId: host.hostId, key: `${distance(host)} ${host.hostId}` }))
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .map(({ hostId }) => hostId);
}
