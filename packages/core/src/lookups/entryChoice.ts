/** Chooses the entry hosts that a caller is told of. */

/** Addresses named where the zone of the caller has fewer, so that the loss of one is borne. */
const minHosts = 2;
const maxHosts = 64;

/** What the choice needs to know of a host. */
export interface EntryHost {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly roles: readonly string[];
  readonly state: string;
  readonly isLeaving?: boolean;
  /** Version of the document in force there; 0 where it holds none yet. */
  readonly documentVersion: number;
}

/** Place of a caller. */
export interface CallerPlace {
  readonly region: string;
  readonly availabilityZone: string;
}

/**
 * Chooses entry hosts: those of the caller's zone, then of its region, then all. Callers pick among
 * them at random, so hosts that are further away are named only where nearer ones are too few.
 *
 * @param hosts - hosts as the membership sees them
 * @param caller - place of the caller
 */
export function chooseEntryHosts<Host extends EntryHost>(
  hosts: readonly Host[],
  caller: CallerPlace,
): Host[] {
  const taking = hosts.filter(
    (host) => host.roles.includes('entry') && host.state === 'alive' && host.isLeaving !== true,
  );
  const ready = taking.filter(({ documentVersion }) => documentVersion > 0);
  const candidates = ready.length > 0 ? ready : taking;
  const ofZone = candidates.filter((host) => host.availabilityZone === caller.availabilityZone);
  if (ofZone.length >= minHosts) return ofZone.slice(0, maxHosts);
  const ofRegion = candidates.filter((host) => host.region === caller.region);
  if (ofRegion.length > 0) return ofRegion.slice(0, maxHosts);
  return candidates.slice(0, maxHosts);
}
