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
interface Ranked {
  readonly hostId: string;
  /** Hash with the asking host, so that askers spread over the sources evenly. */
  readonly weight: number;
  readonly isControl: boolean;
  readonly isZonePeer: boolean;
}

const compareRanked = (left: Ranked, right: Ranked) =>
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
  private ranked: readonly Ranked[] = [];

  private readonly known = new Map<string, Ranked>();

  private candidates: readonly SourceCandidate[] = [];

  private controlMembers: readonly string[] = [];

  private zoneRelays: readonly string[] = [];

  private ordered: readonly string[] = [];

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
    const isChanged = inputs.candidates !== this.candidates && this.follow(inputs.candidates);
    const isSameTree =
      sameNames(this.controlMembers, inputs.controlMembers) &&
      sameNames(this.zoneRelays, inputs.zoneRelays);
    if (!isChanged && isSameTree) return this.ordered;
    this.controlMembers = inputs.controlMembers;
    this.zoneRelays = inputs.zoneRelays;
    this.ordered = this.concatenate();
    return this.ordered;
  }

  /** Takes over the candidates; returns whether one has come, gone or changed. */
  private follow(candidates: readonly SourceCandidate[]): boolean {
    this.candidates = candidates;
    const present = new Set<string>();
    const added: Ranked[] = [];
    const replaced = new Set<Ranked>();
    for (const host of candidates) {
      present.add(host.hostId);
      const before = this.known.get(host.hostId);
      if (before !== undefined && this.isSame(before, host)) continue;
      if (before !== undefined) replaced.add(before);
      const entry = this.rank(host, before?.weight);
      this.known.set(host.hostId, entry);
      added.push(entry);
    }
    if (added.length === 0 && present.size === this.ranked.length) return false;
    const isKept = (entry: Ranked) => present.has(entry.hostId) && !replaced.has(entry);
    const kept = this.ranked.filter(isKept);
    for (const { hostId } of this.ranked) {
      if (!present.has(hostId)) this.known.delete(hostId);
    }
    // The sort merges the two runs, each in order.
    this.ranked = [...kept, ...added.sort(compareRanked)].sort(compareRanked);
    return true;
  }

  private isSame(entry: Ranked, host: SourceCandidate): boolean {
    const isZonePeer = host.availabilityZone === this.self.availabilityZone;
    return entry.isControl === isControlHost(host) && entry.isZonePeer === isZonePeer;
  }

  private rank(host: SourceCandidate, weight?: number): Ranked {
    return {
      hostId: host.hostId,
      weight: weight ?? hashText(`${this.self.hostId} ${host.hostId}`),
      isControl: isControlHost(host),
      isZonePeer: host.availabilityZone === this.self.availabilityZone,
    };
  }

  /** Puts the tiers one after the other, each host where it comes first. */
  private concatenate(): string[] {
    const namesOf = (wanted: (entry: Ranked) => boolean) =>
      this.ranked.filter(wanted).map((entry) => entry.hostId);
    const listed = (hostIds: readonly string[]) => {
      const names = new Set(hostIds);
      return namesOf((entry) => names.has(entry.hostId));
    };
    const controlHosts = namesOf((entry) => entry.isControl);
    const ordered = new Set<string>();
    const add = (hostIds: readonly string[]) => {
      for (const hostId of hostIds) ordered.add(hostId);
    };
    if (isControlHost(this.self)) add(listed(this.controlMembers));
    else if (!this.zoneRelays.includes(this.self.hostId)) add(listed(this.zoneRelays));
    add(controlHosts);
    add(namesOf((entry) => entry.isZonePeer));
    add(namesOf(() => true));
    return [...ordered];
  }
}
