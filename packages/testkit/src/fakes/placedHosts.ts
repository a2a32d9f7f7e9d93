import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { Peer, Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

/** Ports of every host of a test, bench or demo; hosts differ by address. */
export const hostPorts = { callers: 7001, internal: 7002, admin: 7003 } as const;

/** Place and address of one host. */
export interface PlacedHost {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly address: string;
}

function listenerOf(host: PlacedHost, listener: keyof typeof hostPorts): Endpoint {
  return { address: host.address, port: hostPorts[listener] };
}

function peerOf(host: PlacedHost): Peer {
  const { hostId, region, availabilityZone } = host;
  return { hostId, region, availabilityZone, internal: listenerOf(host, 'internal') };
}

/**
 * Makes the part of a host's settings that its place gives: names, listeners and peers.
 *
 * @param host - host
 * @param hosts - all hosts of the fleet, which know each other as peers
 */
export function placeSettings(
  host: PlacedHost,
  hosts: readonly PlacedHost[],
): Pick<Settings, 'hostId' | 'region' | 'availabilityZone' | 'listen' | 'peers'> {
  return {
    hostId: host.hostId,
    region: host.region,
    availabilityZone: host.availabilityZone,
    listen: {
      callers: listenerOf(host, 'callers'),
      internal: listenerOf(host, 'internal'),
      admin: listenerOf(host, 'admin'),
    },
    peers: hosts.filter((other) => other !== host).map(peerOf),
  };
}
