import type { Network } from '@buckthornlug/protocol/document/documentTypes.js';

import type { CompiledNetwork, ZoneDistance } from './tableTypes.js';

/** Shortest delays between regions, over direct links or through other regions. */
function computeRegionDelays(network: Network): number[][] {
  const indexes = new Map(network.regions.map((region, index) => [region.id, index]));
  const count = network.regions.length;
  const delays = Array.from({ length: count }, (_, from) =>
    Array.from({ length: count }, (__, to) => (from === to ? 0 : Infinity)),
  );
  const lowerDelay = (from: number, to: number, delayMs: number) => {
    const row = delays[from];
    if (row !== undefined) row[to] = Math.min(row[to] ?? Infinity, delayMs);
  };
  for (const link of network.links) {
    const from = indexes.get(link.from);
    const to = indexes.get(link.to);
    if (from === undefined || to === undefined) continue;
    lowerDelay(from, to, link.oneWayDelayMs);
    lowerDelay(to, from, link.oneWayDelayMs);
  }
  for (let via = 0; via < count; via += 1) {
    for (let from = 0; from < count; from += 1) {
      for (let to = 0; to < count; to += 1) {
        lowerDelay(from, to, (delays[from]?.[via] ?? Infinity) + (delays[via]?.[to] ?? Infinity));
      }
    }
  }
  return delays;
}

interface ZoneLocation {
  readonly availabilityZone: string;
  readonly region: string;
  readonly regionIndex: number;
}

function delayBetween(
  network: Network,
  delays: readonly number[][],
  from: ZoneLocation,
  to: ZoneLocation,
): number {
  if (from.availabilityZone === to.availabilityZone) return 0;
  if (from.regionIndex === to.regionIndex) return network.zoneDelayMs;
  return delays[from.regionIndex]?.[to.regionIndex] ?? Infinity;
}

/** Orders zones by delay; equal delays keep the order of the document. */
function compareByDelay(left: ZoneDistance, right: ZoneDistance): number {
  if (left.oneWayDelayMs === right.oneWayDelayMs) return 0;
  return left.oneWayDelayMs < right.oneWayDelayMs ? -1 : 1;
}

/**
 * Compiles the section `network`.
 *
 * @param network - section of a checked document
 */
export function compileNetwork(network: Network): CompiledNetwork {
  const delays = computeRegionDelays(network);
  const locations: ZoneLocation[] = network.regions.flatMap((region, regionIndex) =>
    region.availabilityZones.map((availabilityZone) => ({
      availabilityZone,
      region: region.id,
      regionIndex,
    })),
  );
  const zonesByDelay = new Map<string, readonly ZoneDistance[]>();
  for (const from of locations) {
    const distances = locations.map((to) => ({
      availabilityZone: to.availabilityZone,
      region: to.region,
      oneWayDelayMs: delayBetween(network, delays, from, to),
    }));
    const others = distances.filter((to) => to.availabilityZone !== from.availabilityZone);
    const self = distances.filter((to) => to.availabilityZone === from.availabilityZone);
    zonesByDelay.set(from.availabilityZone, [...self, ...others.sort(compareByDelay)]);
  }
  return {
    zoneNames: locations.map((location) => location.availabilityZone),
    regionOfZone: new Map(
      locations.map((location) => [location.availabilityZone, location.region]),
    ),
    zonesByDelay,
  };
}
