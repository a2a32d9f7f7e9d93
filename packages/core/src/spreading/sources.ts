import { hashText } from '../hash/textHash.js';

/** A host as the choice of a source sees it. */
export interface SourceCandidate {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly roles: readonly string[];
}

/** What the choice of sources depends on. */
export interface SourceInputs {
  readonly self: SourceCandidate;
  /** Other hosts that take part. */
  readonly candidates: readonly SourceCandidate[];
  /** Members of the control group, as far as known. */
  readonly controlMembers: readonly string[];
  /** Relays of the own zone. */
  readonly zoneRelays: readonly string[];
}

/** Orders hosts by a hash with the asking host, so that askers spread over them evenly. */
function spread(hostIds: readonly string[], asker: string): string[] {
  const weighed = hostIds.map((hostId) => ({ hostId, weight: hashText(`${asker} ${hostId}`) }));
  weighed.sort((left, right) => left.weight - right.weight);
  return weighed.map(({ hostId }) => hostId);
}

interface Tiers {
  readonly members: readonly string[];
  readonly controlHosts: readonly string[];
  readonly relays: readonly string[];
}

/** Hosts one tier nearer to the control group. */
function upperTier(inputs: SourceInputs, tiers: Tiers): readonly string[] {
  if (inputs.self.roles.includes('control')) return tiers.members;
  if (inputs.zoneRelays.includes(inputs.self.hostId)) return tiers.controlHosts;
  return tiers.relays;
}

/**
 * Orders the hosts that a host may get updates from. Control hosts ask members of the control group,
 * relays ask control hosts, and the other hosts of a zone ask its relays; whoever finds none of
 * these asks any host, its own zone first.
 *
 * @param inputs - the asking host and those that take part
 */
export function orderSources(inputs: SourceInputs): string[] {
  const { self, candidates, controlMembers, zoneRelays } = inputs;
  const present = new Set(candidates.map((host) => host.hostId));
  const isPresent = (hostId: string) => present.has(hostId);
  const members = spread(controlMembers.filter(isPresent), self.hostId);
  const controlHosts = spread(
    candidates.filter((host) => host.roles.includes('control')).map((host) => host.hostId),
    self.hostId,
  );
  const relays = spread(zoneRelays.filter(isPresent), self.hostId);
  const zonePeers = candidates
    .filter((host) => host.availabilityZone === self.availabilityZone)
    .map((host) => host.hostId);
  const others = candidates.map((host) => host.hostId);
  const ordered = [
    ...upperTier(inputs, { members, controlHosts, relays }),
    ...controlHosts,
    ...spread(zonePeers, self.hostId),
    ...spread(others, self.hostId),
  ];
  return [...new Set(ordered)];
}
