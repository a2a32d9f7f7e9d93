import { relaysPerZone } from './membershipLimits.js';
import type { MemberEntry } from './membershipTypes.js';
import { isParticipating } from './memberStamp.js';
import { hashText } from '../hash/textHash.js';

/** Views derived from the entries, in ring order. */
interface Views {
  /** Other participating hosts of this host's zone. */
  readonly zonePeers: readonly MemberEntry[];
  /** Relays of other zones. */
  readonly remoteRelays: readonly MemberEntry[];
  readonly relaysByZone: ReadonlyMap<string, readonly MemberEntry[]>;
  readonly failed: readonly MemberEntry[];
  readonly participantCount: number;
}

/** Entries of all known hosts, with the derived views that probing and gossip use. */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();

  private readonly ringPositions = new Map<string, number>();

  private cachedViews: Views | undefined;

  private cachedNotAlive: readonly MemberEntry[] | undefined;

  private changes = 0;

  private cachedDigests: Readonly<Record<string, number>> | undefined;

  constructor(private readonly self: MemberEntry) {
    this.add(self);
  }

  add(entry: MemberEntry): void {
    this.entries.set(entry.identity.hostId, entry);
    this.ringPositions.set(entry.identity.hostId, hashText(entry.identity.hostId));
    this.changed();
  }

  remove(hostId: string): void {
    this.entries.delete(hostId);
    this.ringPositions.delete(hostId);
    this.changed();
  }

  find(hostId: string): MemberEntry | undefined {
    return this.entries.get(hostId);
  }

  all(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  /** Must be called after the state of an entry has changed. */
  changed(): void {
    this.cachedViews = undefined;
    this.cachedNotAlive = undefined;
    this.changes += 1;
    this.cachedDigests = undefined;
  }

  /** Must be called after the versions that a host holds have changed. */
  markVersionsChanged(): void {
    this.changes += 1;
  }

  /** Number of changes so far. */
  revision(): number {
    return this.changes;
  }

  ringPosition(entry: MemberEntry): number {
    return this.ringPositions.get(entry.identity.hostId) ?? 0;
  }

  views(): Views {
    this.cachedViews ??= this.buildViews();
    return this.cachedViews;
  }

  /** Hosts in any state other than alive, as of the last change. */
  notAlive(): readonly MemberEntry[] {
    this.cachedNotAlive ??= [...this.entries.values()].filter((entry) => entry.state !== 'alive');
    return this.cachedNotAlive;
  }

  isSelfRelay(): boolean {
    const relays = this.views().relaysByZone.get(this.self.identity.availabilityZone) ?? [];
    return relays.includes(this.self);
  }

  /** Digests of the hosts by zone. Failed hosts, suspicions and document versions are left out. */
  digests(): Readonly<Record<string, number>> {
    this.cachedDigests ??= this.buildDigests();
    return this.cachedDigests;
  }

  /** Zones whose digests differ from those of another host. */
  differingZones(others: Readonly<Record<string, number>>): string[] {
    const own = this.digests();
    const zones = new Set([...Object.keys(own), ...Object.keys(others)]);
    return [...zones].filter((zone) => own[zone] !== others[zone]);
  }

  private buildDigests(): Readonly<Record<string, number>> {
    const digests: Record<string, number> = {};
    for (const entry of this.entries.values()) {
      // Some hosts may see a host as failed that others see as left; in the end all see it as left.
      if (entry.state === 'failed') continue;
      const { hostId, availabilityZone } = entry.identity;
      const state = entry.state === 'suspected' ? 'alive' : entry.state;
      const hash = hashText(`${hostId} ${entry.incarnation} ${state}`);
      digests[availabilityZone] = ((digests[availabilityZone] ?? 0) ^ hash) >>> 0;
    }
    return digests;
  }

  private buildViews(): Views {
    const ring = [...this.entries.values()].sort(
      (left, right) => this.ringPosition(left) - this.ringPosition(right),
    );
    const participants = ring.filter((entry) => isParticipating(entry.state));
    const relaysByZone = new Map<string, MemberEntry[]>();
    for (const entry of participants) {
      const relays = relaysByZone.get(entry.identity.availabilityZone) ?? [];
      relaysByZone.set(entry.identity.availabilityZone, relays);
      if (relays.length < relaysPerZone) relays.push(entry);
    }
    const ownZone = this.self.identity.availabilityZone;
    const inOwnZone = (entry: MemberEntry) => entry.identity.availabilityZone === ownZone;
    const relays = [...relaysByZone.values()].flat();
    return {
      zonePeers: participants.filter((entry) => entry !== this.self && inOwnZone(entry)),
      remoteRelays: this.sortByRingPosition(relays.filter((entry) => !inOwnZone(entry))),
      relaysByZone,
      failed: ring.filter((entry) => entry.state === 'failed'),
      participantCount: participants.length,
    };
  }

  private sortByRingPosition(entries: readonly MemberEntry[]): MemberEntry[] {
    return [...entries].sort((left, right) => this.ringPosition(left) - this.ringPosition(right));
  }
}
