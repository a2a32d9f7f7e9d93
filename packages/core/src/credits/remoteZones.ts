import type { Network } from '@buckthornlug/protocol/document/documentTypes.js';

/** Another availability zone that calls can be sent to. */
export interface RemoteZone {
  readonly availabilityZone: string;
  readonly region: string;
  readonly isOwnRegion: boolean;
  readonly oneWayDelayMs: number;
}

/** Delay assumed where the document has no link between two regions. */
const defaultLinkDelayMs = 200;

function linkDelayMs(network: Network, from: string, to: string): number {
  for (const link of network.links) {
    if (link.from === from && link.to === to) return link.oneWayDelayMs;
    if (link.from === to && link.to === from) return link.oneWayDelayMs;
  }
  return defaultLinkDelayMs;
}

/**
 * Lists the availability zones that calls can be sent to: own region first, then by delay.
 *
 * @param network - section `network` of the document
 * @param region - own region
 * @param availabilityZone - own availability zone; left out
 * @param isOpen - whether a zone takes calls of other zones
 */
export function listRemoteZones(
  network: Network,
  region: string,
  availabilityZone: string,
  isOpen: (region: string, availabilityZone: string) => boolean,
): RemoteZone[] {
  const zones: RemoteZone[] = [];
  for (const other of network.regions) {
    const isOwnRegion = other.id === region;
    const oneWayDelayMs = isOwnRegion
      ? network.zoneDelayMs
      : linkDelayMs(network, region, other.id);
    for (const zone of other.availabilityZones) {
      if (zone === availabilityZone || !isOpen(other.id, zone)) continue;
      zones.push({ availabilityZone: zone, region: other.id, isOwnRegion, oneWayDelayMs });
    }
  }
  zones.sort(
    (a, b) =>
      Number(b.isOwnRegion) - Number(a.isOwnRegion) ||
      a.oneWayDelayMs - b.oneWayDelayMs ||
      a.availabilityZone.localeCompare(b.availabilityZone),
  );
  return zones;
}
