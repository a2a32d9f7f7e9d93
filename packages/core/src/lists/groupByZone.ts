/**
 * Groups hosts by availability zone; each group keeps the order of the list.
 *
 * @param hosts - hosts in any order
 * @param isIncluded - whether a host is part of the result
 */
export function groupByZone<Host extends { readonly availabilityZone: string }>(
  hosts: readonly Host[],
  isIncluded: (host: Host) => boolean,
): Map<string, Host[]> {
  const byZone = new Map<string, Host[]>();
  for (const host of hosts) {
    if (!isIncluded(host)) continue;
    const zoneHosts = byZone.get(host.availabilityZone);
    if (zoneHosts === undefined) byZone.set(host.availabilityZone, [host]);
    else zoneHosts.push(host);
  }
  return byZone;
}
