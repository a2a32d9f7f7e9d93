import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import type { HostRecord } from '../runtime/hostTypes.js';

const liveStates: ReadonlySet<HostRecord['state']> = new Set(['alive', 'suspected', 'leaving']);

/** Tells whether a host runs, as far as the membership knows. */
export function isLive(host: HostRecord): boolean {
  return liveStates.has(host.state);
}

/**
 * Lists the regions whose hosts are known and all dead.
 *
 * @param document - document with the regions
 * @param hosts - hosts as the membership sees them
 */
export function findFailedRegions(
  document: SteeringDocument,
  hosts: readonly HostRecord[],
): ReadonlySet<string> {
  const failed = new Set<string>();
  for (const region of document.network.regions) {
    const regionHosts = hosts.filter((host) => host.region === region.id);
    if (regionHosts.length > 0 && !regionHosts.some(isLive)) failed.add(region.id);
  }
  return failed;
}
