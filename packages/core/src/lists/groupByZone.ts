/**
 * Groups hosts by availability zone, each zone's in the order of the list.
 *
 * @param hosts - hosts
 * @param isWanted - tells which of them count
 */
export function groupByZone<Host extends { readonly availabilityZone: string }>(
  hosts: readonly Host[],
  isWanted: (host: Host) => boolean,
): Map<string, Host[]> {
  const byZone = new Map<string, Host[]>();
  for (const host of hosts) {
    if (!isWanted(host)) continue;
    const ofZone = byZone.get(host.availabilityZone);
    if (ofZone === undefined) byZone.set(host.availabilityZone, [host]);
    else ofZone.push(host);
  }
  return byZone;
}
