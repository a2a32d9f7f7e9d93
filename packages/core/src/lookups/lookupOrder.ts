import type { Network } from '@buckthornlug/protocol/document/documentTypes.js';

/** What the order of a look-up needs to know of a host. */
export interface LookupHost {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
}

/** Distances between regions by the links of the document. */
function regionDelayMs(network: Network, from: string, to: string): number {
  if (from === to) return 0;
  for (const link of network.links) {
    if (link.from === from && link.to === to) return link.oneWayDelayMs;
    if (link.from === to && link.to === from) return link.oneWayDelayMs;
  }
  return Number.POSITIVE_INFINITY;
}

/** A number from a text, spread evenly, to vary the order between zones. */
function hashText(text: string): number {
  let hash = 2166136261;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 16777619);
  }
  return hash >>> 0;
}

/** A look-up: who asks, and who owns the pool of the zone. */
export interface LookupQuestion {
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly poolOwnerId: string | undefined;
}

/**
 * Orders the hosts that a caller should use: the pool owner of its zone, the other hosts of the zone,
 * other zones of the region, then other regions by delay. Hosts of equal distance stand in an order
 * that differs from zone to zone.
 *
 * @param network - regions and links
 * @param hosts - hosts that take calls
 * @param question - who asks for what
 */
export function orderHosts<Host extends LookupHost>(
  network: Network,
  hosts: readonly Host[],
  question: LookupQuestion,
): Host[] {
  const distanceOf = (host: Host): number => {
    if (host.availabilityZone === question.availabilityZone) {
      return host.hostId === question.poolOwnerId ? -2 : -1;
    }
    return regionDelayMs(network, question.region, host.region);
  };
  const ranked = hosts.map((host) => ({
    host,
    distance: distanceOf(host),
    tie: hashText(`${question.availabilityZone} ${question.service} ${host.hostId}`),
  }));
  ranked.sort((one, other) => {
    if (one.distance !== other.distance) return one.distance < other.distance ? -1 : 1;
    return one.tie - other.tie;
  });
  return ranked.map((entry) => entry.host);
}
