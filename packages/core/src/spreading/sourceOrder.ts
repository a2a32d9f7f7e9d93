import { hashText } from '../hash/textHash.js';
import { sameNames } from '../lists/sameNames.js';

/** Host that updates may be polled from. */
export interface SourceCandidate {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly roles: readonly string[];
}

/** Inputs of the source order, apart from the polling host. */
export interface SourceInputs {
  /** Other participating hosts; the same list object is assumed to hold the same hosts. */
  readonly candidates: readonly SourceCandidate[];
  /** Known members of the control group. */
  readonly controlMembers: readonly string[];
  /** Relays of the polling host's zone. */
  readonly zoneRelays: readonly string[];
}

/** Candidate with the properties that determine its position in the order. */
interface OrderedCandidate {
  readonly hostId: string;
  /** Hash of polling host and candidate, so that polling hosts spread over the sources evenly. */
  readonly weight: number;
  readonly isControl: boolean;
  readonly isZonePeer: boolean;
}

const compareCandidates = (left: OrderedCandidate, right: OrderedCandidate) =>
  left.weight - right.weight || (left.hostId < right.hostId ? -1 : 1);

const isControlHost = (host: SourceCandidate) => host.roles.includes('control');

/**
 * Orders the hosts that a host polls for updates. Control hosts poll members of the control group,
 * relays poll control hosts, and the other hosts of a zone poll its relays. The remaining control
 * hosts, the other hosts of the zone and then all other hosts are fallbacks, in this order.
 *
 * The order is cached: only added hosts are hashed, and only added and changed ones sorted in.
 */
export class SourceOrder {
  /** All candidates, by weight. */
  private orderedCandidates: readonly OrderedCandidate[] = [];

  private readonly candidatesById = new Map<string, OrderedCandidate>();

  private candidates: readonly SourceCandidate[] = [];

  private controlMembers: readonly string[] = [];

  private zoneRelays: readonly string[] = [];

  private sourceIds: readonly string[] = [];

  /**
   * @param self - the polling host
   */
  constructor(private readonly self: SourceCandidate) {}

  /** Returns the ids of the sources, best first. */
  order(inputs: SourceInputs): readonly string[] {
    const hasChangedCandidates =
      inputs.candidates !== this.candidates && this.updateCandidates(inputs.candidates);
    const hasSameTiers =
      sameNames(this.controlMembers, inputs.controlMembers) &&
      sameNames(this.zoneRelays, inputs.zoneRelays);
    if (!hasChangedCandidates && hasSameTiers) return this.sourceIds;
    this.controlMembers = inputs.controlMembers;
    this.zoneRelays = inputs.zoneRelays;
    this.sourceIds = this.concatenateTiers();
    return this.sourceIds;
  }

  /** Updates the candidates; returns whether one was added, removed or changed. */
  private updateCandidates(candidates: readonly SourceCandidate[]): boolean {
    this.candidates = candidates;
    const present = new Set<string>();
    const added: OrderedCandidate[] = [];
    const replaced = new Set<OrderedCandidate>();
    for (const host of candidates) {
      present.add(host.hostId);
      const previous = this.candidatesById.get(host.hostId);
      if (previous !== undefined && this.isUnchanged(previous, host)) continue;
      if (previous !== undefined) replaced.add(previous);
      const entry = this.rank(host, previous?.weight);
      this.candidatesById.set(host.hostId, entry);
      added.push(entry);
    }
    if (added.length === 0 && present.size === this.orderedCandidates.length) return false;
    const isKept = (entry: OrderedCandidate) => present.has(entry.hostId) && !replaced.has(entry);
    const kept = this.orderedCandidates.filter(isKept);
    for (const { hostId } of this.orderedCandidates) {
      if (!present.has(hostId)) this.candidatesById.delete(hostId);
    }
    // Both runs are sorted already, so that the sort only merges them.
    this.orderedCandidates = [...kept, ...added.sort(compareCandidates)].sort(compareCandidates);
    return true;
  }

  private isUnchanged(entry: OrderedCandidate, host: SourceCandidate): boolean {
    const isZonePeer = host.availabilityZone === this.self.availabilityZone;
    return entry.isControl === isControlHost(host) && entry.isZonePeer === isZonePeer;
  }

  private rank(host: SourceCandidate, weight?: number): OrderedCandidate {
    return {
      hostId: host.hostId,
      weight: weight ?? hashText(`${this.self.hostId} ${host.hostId}`),
      isControl: isControlHost(host),
      isZonePeer: host.availabilityZone === this.self.availabilityZone,
    };
  }

  /** Concatenates the tiers; a host of several tiers is listed in the first one. */
  private concatenateTiers(): string[] {
    const hostIdsWhere = (isWanted: (entry: OrderedCandidate) => boolean) =>
      this.orderedCandidates.filter(isWanted).map((entry) => entry.hostId);
    const inOrder = (hostIds: readonly string[]) => {
      const names = new Set(hostIds);
      return hostIdsWhere((entry) => names.has(entry.hostId));
    };
    const controlHosts = hostIdsWhere((entry) => entry.isControl);
    const ordered = new Set<string>();
    const add = (hostIds: readonly string[]) => {
      for (const hostId of hostIds) ordered.add(hostId);
    };
    if (isControlHost(this.self)) add(inOrder(this.controlMembers));
    else if (!this.zoneRelays.includes(this.self.hostId)) add(inOrder(this.zoneRelays));
    add(controlHosts);
    add(hostIdsWhere((entry) => entry.isZonePeer));
    add(hostIdsWhere(() => true));
    return [...ordered];
  }
}
