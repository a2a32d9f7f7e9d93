import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import type { HostRecord } from '../runtime/hostTypes.js';

const livingStates: ReadonlySet<HostRecord['state']> = new Set(['alive', 'suspected', 'leaving']);

/** Tells whether a host runs, as far as the membership knows. */
export function isLiving(host: HostRecord): boolean {
  return livingStates.has(host.state);
}

/**
 * Lists the regions whose hosts are known and all dead.
 *
 * @param document - document with the regions
 * @param hosts - hosts as the membership sees them
 */
export function failedRegions(
  document: SteeringDocument,
  hosts: readonly HostRecord[],
): ReadonlySet<string> {
  const failed = new Set<string>();
  for (const region of document.network.regions) {
    const own = hosts.filter((host) => host.region === region.id);
    if (own.length > 0 && !own.some(isLiving)) failed.add(region.id);
  }
  return failed;
}
