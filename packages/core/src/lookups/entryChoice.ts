/** Chooses the entry hosts that a caller is told of. */

/** Addresses named where the zone of the caller has fewer, so that the loss of one is borne. */
const minZoneHosts = 2;
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
export interface CallerLocation {
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
  caller: CallerLocation,
): Host[] {
  const accepting = hosts.filter(
    (host) => host.roles.includes('entry') && host.state === 'alive' && host.isLeaving !== true,
  );
  const ready = accepting.filter(({ documentVersion }) => documentVersion > 0);
  const candidates = ready.length > 0 ? ready : accepting;
  const inZone = candidates.filter((host) => host.availabilityZone === caller.availabilityZone);
  if (inZone.length >= minZoneHosts) return inZone.slice(0, maxHosts);
  const inRegion = candidates.filter((host) => host.region === caller.region);
  if (inRegion.length > 0) return inRegion.slice(0, maxHosts);
  return candidates.slice(0, maxHosts);
}
