import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { HostRecord, MembershipView } from './hostTypes.js';

/**
 * Creates a fixed membership of this host and the peers with a configured region and availability
 * zone, all alive. Peers are assumed to use the ports of this host for callers and administration.
 *
 * @param settings - settings of this host
 * @param incarnation - incarnation of this process
 */
export function createStaticMembership(settings: Settings, incarnation: number): MembershipView {
  const { listen } = settings;
  const self: HostRecord = {
    hostId: settings.hostId,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
    incarnation,
    state: 'alive',
    roles: settings.roles,
    internal: listen.internal,
    callers: listen.callers,
    admin: listen.admin,
    documentVersion: 0,
  };
  const hosts = [self];
  for (const { hostId, region, availabilityZone, internal } of settings.peers) {
    const hasLocation = region !== undefined && availabilityZone !== undefined;
    if (hostId === settings.hostId || !hasLocation) continue;
    hosts.push({
      hostId,
      region,
      availabilityZone,
      incarnation: 0,
      state: 'alive',
      roles: ['entry'],
      internal,
      callers: { address: internal.address, port: listen.callers.port },
      admin: { address: internal.address, port: listen.admin.port },
      documentVersion: 0,
    });
  }
  return {
    self: () => self,
    hosts: () => hosts,
    find: (hostId) => hosts.find((host) => host.hostId === hostId),
    onChange: () => () => undefined,
  };
}
