/** Chooses the entry hosts whose addresses a caller gets. */

/**
 * Entry hosts that the caller's zone must have for the choice to stay in it, so that the caller can do
 * without one of them.
 */
const minZoneHosts = 2;
const maxHosts = 64;

/** Fields of a host that the choice depends on. */
export interface EntryHost {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly roles: readonly string[];
  readonly state: string;
  readonly isLeaving?: boolean;
  /** Version of the document in force on the host; 0 if it has none yet. */
  readonly documentVersion: number;
}

/** Location of a caller. */
export interface CallerLocation {
  readonly region: string;
  readonly availabilityZone: string;
}

/**
 * Chooses entry hosts: those of the caller's zone, then of its region, then all. Callers pick among
 * them at random, so hosts that are further away are included only if there are too few nearer ones.
 *
 * @param hosts - hosts known to the membership
 * @param caller - location of the caller
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
