/**
 * Groups hosts by availability zone, each zone's in the order of the list.
 *
 * @param hosts - hosts
 * @param isIncluded - tells which of them count
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
