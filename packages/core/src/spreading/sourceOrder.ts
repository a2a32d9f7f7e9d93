import { hashText } from '../hash/textHash.js';
import { sameNames } from '../lists/sameNames.js';

/** A host as the choice of a source sees it. */
export interface SourceCandidate {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly roles: readonly string[];
}

/** What the choice of sources depends on, beside the asking host. */
export interface SourceInputs {
  /** Other hosts that take part; the same list is taken to hold the same hosts. */
  readonly candidates: readonly SourceCandidate[];
  /** Members of the control group, as far as known. */
  readonly controlMembers: readonly string[];
  /** Relays of the own zone. */
  readonly zoneRelays: readonly string[];
}

/** A candidate with its place in the order. */
interface OrderedCandidate {
  readonly hostId: string;
  /** Hash with the asking host, so that askers spread over the sources evenly. */
  readonly weight: number;
  readonly isControl: boolean;
  readonly isZonePeer: boolean;
}

const compareCandidates = (left: OrderedCandidate, right: OrderedCandidate) =>
  left.weight - right.weight || (left.hostId < right.hostId ? -1 : 1);

const isControlHost = (host: SourceCandidate) => host.roles.includes('control');

/**
 * Orders the hosts that a host may get updates from. Control hosts ask members of the control group,
 * relays ask control hosts, and the other hosts of a zone ask its relays; whoever finds none of
 * these asks any host, its own zone first.
 *
 * The order is kept, and only hosts that have come, gone or changed are hashed and placed anew.
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
   * @param self - the asking host
   */
  constructor(private readonly self: SourceCandidate) {}

  /**
   * Gives the sources, the best first.
   *
   * @param inputs - hosts that take part now
   */
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

  /** Takes over the candidates; returns whether one has come, gone or changed. */
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
    // The sort merges the two runs, each in order.
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

  /** Puts the tiers one after the other, each host where it comes first. */
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
