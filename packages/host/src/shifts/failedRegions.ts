import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import type { HostRecord } from '../runtime/hostTypes.js';

const liveStates: ReadonlySet<HostRecord['state']> = new Set(['alive', 'suspected', 'leaving']);

/** Whether a host is running according to the membership. */
export function isLive(host: HostRecord): boolean {
  return liveStates.has(host.state);
}

/** Finds the regions that have known hosts, none of which is running. */
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
