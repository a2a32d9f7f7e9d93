import {
  digestIntervalMs,
  joinMs,
  lagDecay,
  maxLagMs,
  probeHelpers,
  reconnectMs,
  ringProbes,
  seedsAtOnce,
  suspectProbeMs,
  verifiedPerInterval,
  youngDigestIntervalMs,
} from './membershipLimits.js';
import type { MemberEntry, MembershipConfig, Seed } from './membershipTypes.js';
import type { MemberOutbox } from './memberOutbox.js';
import { takesPart } from './memberStamp.js';
import type { MemberStates } from './memberTransitions.js';
import type { MemberTable } from './memberTable.js';
import { ProbeBook, type PendingProbe } from './pendingProbes.js';
import { sample, successors } from './sampling.js';

/** Helpers answer over two links each way. */
const helperTimeFactor = 2;

/** Chooses and times the probes of a host, and its attempts to reach hosts that are out of contact. */
export class MemberProbes {
  private readonly book = new ProbeBook();

  private readonly toVerify = new Set<string>();

  private nextRoundMs: number;

  private nextSuspectMs = 0;

  private lagMs = 0;

  private nextReconnectMs: number;

  private nextDigestMs: number;

  private readonly startedAtMs: number;

  constructor(
    private readonly self: MemberEntry,
    private readonly table: MemberTable,
    private readonly outbox: MemberOutbox,
    private readonly states: MemberStates,
    private readonly config: MembershipConfig,
    private readonly random: () => number,
    nowMs: number,
  ) {
    this.nextRoundMs = nowMs + random() * config.probeIntervalMs;
    this.nextReconnectMs = nowMs;
    this.nextDigestMs = nowMs + random() * youngDigestIntervalMs;
    this.startedAtMs = nowMs;
  }

  tick(nowMs: number): void {
    this.checkPending(nowMs);
    if (nowMs >= this.nextRoundMs) this.probeRound(nowMs);
    if (nowMs >= this.nextSuspectMs) this.probeSuspects(nowMs);
    if (nowMs >= this.nextReconnectMs) this.reconnect(nowMs);
    if (nowMs >= this.nextDigestMs) this.compareDigest(nowMs);
  }

  /** Notes by how much the last tick came late; answers are given that much more time. */
  noteLag(lateMs: number): void {
    this.lagMs = Math.min(maxLagMs, Math.max(this.lagMs * lagDecay, 2 * lateMs, 0));
  }

  /** Drops probes whose answers may have come while this process stood still. */
  forgetPending(): void {
    this.book.clear();
  }

  /** Has a host probed soon because of an old accusation. */
  verify(entry: MemberEntry): void {
    this.toVerify.add(entry.identity.hostId);
  }

  answered(sequence: number, nowMs: number): void {
    const probe = this.book.close(sequence);
    if (probe === undefined) return;
    const target = this.table.find(probe.target);
    if (target !== undefined) {
      target.reachable = true;
      target.introduced = true;
    }
    if (probe.onBehalfOf === undefined) return;
    const asker = this.table.find(probe.onBehalfOf.hostId);
    if (asker === undefined) return;
    const body = { kind: 'ack' as const, sequence: probe.onBehalfOf.sequence };
    this.outbox.send(asker, body, nowMs);
  }

  /** Probes a host on behalf of another one. */
  probeFor(asker: MemberEntry, targetId: string, sequence: number, nowMs: number): void {
    const target = this.table.find(targetId);
    if (target === undefined) return;
    this.sendProbe(target, nowMs, { hostId: asker.identity.hostId, sequence });
  }

  /**
   * Asks a host for its records.
   *
   * @param after - last host of the page before
   * @param zones - zones whose records are asked for; all where absent
   */
  sendSync(target: MemberEntry, after: string, nowMs: number, zones?: readonly string[]): void {
    const filter = zones === undefined ? {} : { zones };
    const body = { kind: 'sync' as const, identity: this.self.identity, after, ...filter };
    this.outbox.send(target, body, nowMs);
  }

  syncWithSeed(seed: Seed): void {
    const body = { kind: 'sync' as const, identity: this.self.identity, after: '' };
    this.outbox.sendToSeed(seed.hostId, seed.internal, body);
  }

  sendDigest(target: MemberEntry, isAnswer: boolean, nowMs: number): void {
    const body = { kind: 'digest' as const, zones: this.table.digests(), isAnswer };
    this.outbox.send(target, body, nowMs);
  }

  private sendProbe(
    target: MemberEntry,
    nowMs: number,
    onBehalfOf?: PendingProbe['onBehalfOf'],
  ): void {
    const probe = this.book.open(target.identity.hostId, nowMs, onBehalfOf);
    this.postProbe(target, probe.sequence, nowMs);
  }

  private ringTargets(ring: readonly MemberEntry[]): MemberEntry[] {
    const positionOf = (entry: MemberEntry) => this.table.ringPosition(entry);
    return successors(ring, positionOf, positionOf(this.self), ringProbes);
  }

  private probeRound(nowMs: number): void {
    this.nextRoundMs = Math.max(this.nextRoundMs + this.config.probeIntervalMs, nowMs);
    const { zonePeers, foreignRelays } = this.table.views();
    const targets = new Set(this.ringTargets(zonePeers));
    const pool = [...zonePeers];
    if (this.table.selfIsRelay()) {
      for (const target of this.ringTargets(foreignRelays)) targets.add(target);
      pool.push(...foreignRelays);
    }
    for (const target of sample(pool, 1, this.random)) targets.add(target);
    for (const target of this.takeToVerify()) targets.add(target);
    for (const target of targets) {
      if (!this.book.isOpen(target.identity.hostId)) this.sendProbe(target, nowMs);
    }
  }

  private takeToVerify(): MemberEntry[] {
    const taken: MemberEntry[] = [];
    for (const hostId of this.toVerify) {
      if (taken.length === verifiedPerInterval) break;
      this.toVerify.delete(hostId);
      const entry = this.table.find(hostId);
      if (entry !== undefined && takesPart(entry.state)) taken.push(entry);
    }
    return taken;
  }

  private checkPending(nowMs: number): void {
    const directTimeoutMs = this.config.directTimeoutMs + this.lagMs;
    for (const probe of this.book.all()) {
      const waitedMs = nowMs - probe.sentAtMs;
      if (waitedMs >= directTimeoutMs && !probe.helpersAsked) {
        probe.helpersAsked = true;
        if (probe.onBehalfOf === undefined) this.askHelpers(probe, nowMs);
      }
      if (waitedMs >= directTimeoutMs * (1 + helperTimeFactor)) this.giveUp(probe, nowMs);
    }
  }

  private askHelpers(probe: PendingProbe, nowMs: number): void {
    const target = this.table.find(probe.target);
    if (target === undefined) return;
    target.reachable = false;
    const { zonePeers, foreignRelays } = this.table.views();
    const others = (entries: readonly MemberEntry[]) =>
      entries.filter((entry) => entry !== target && entry.state === 'alive');
    const helpers = sample(others(zonePeers), probeHelpers, this.random);
    const missing = probeHelpers - helpers.length;
    helpers.push(...sample(others(foreignRelays), missing, this.random));
    const { sequence } = probe;
    for (const helper of helpers) {
      const body = { kind: 'probeRequest' as const, sequence, target: probe.target };
      this.outbox.send(helper, body, nowMs);
    }
    this.postProbe(target, sequence, nowMs);
  }

  private postProbe(target: MemberEntry, sequence: number, nowMs: number): void {
    const introduction = target.introduced ? {} : { identity: this.self.identity };
    this.outbox.send(target, { kind: 'probe', sequence, ...introduction }, nowMs);
  }

  private giveUp(probe: PendingProbe, nowMs: number): void {
    this.book.close(probe.sequence);
    const target = this.table.find(probe.target);
    if (target === undefined || probe.onBehalfOf !== undefined) return;
    if (!takesPart(target.state)) return;
    this.states.accuse(target, nowMs);
    this.probeItsZone(target, nowMs);
  }

  /** Looks at once whether the whole zone of an unreachable host is out of reach. */
  private probeItsZone(target: MemberEntry, nowMs: number): void {
    const zone = target.identity.availabilityZone;
    if (zone === this.self.identity.availabilityZone) return;
    const others = [...this.table.all()].filter(
      (entry) =>
        entry.identity.availabilityZone === zone &&
        takesPart(entry.state) &&
        !entry.accusedHere &&
        !this.book.isOpen(entry.identity.hostId),
    );
    for (const entry of sample(others, probeHelpers, this.random)) this.sendProbe(entry, nowMs);
  }

  private probeSuspects(nowMs: number): void {
    this.nextSuspectMs = nowMs + suspectProbeMs;
    for (const entry of this.table.notAlive()) {
      if (entry.state === 'suspected' && entry.accusedHere) this.sendProbe(entry, nowMs);
    }
  }

  /** Tries a failed host, and a seed while none is known to take part. */
  private reconnect(nowMs: number): void {
    this.nextReconnectMs = nowMs + reconnectMs;
    const { failed, participants } = this.table.views();
    const ownZone = this.self.identity.availabilityZone;
    const tried = failed.filter(
      (entry) => entry.identity.availabilityZone === ownZone || this.table.selfIsRelay(),
    );
    for (const entry of sample(tried, 1, this.random)) this.sendSync(entry, '', nowMs);
    const unknown = this.config.seeds.filter((seed) => {
      if (seed.hostId === this.self.identity.hostId) return false;
      return this.table.find(seed.hostId) === undefined;
    });
    const count = participants === 1 ? seedsAtOnce : 1;
    for (const seed of sample(unknown, count, this.random)) this.syncWithSeed(seed);
  }

  private compareDigest(nowMs: number): void {
    const young = nowMs - this.startedAtMs < joinMs;
    this.nextDigestMs = nowMs + (young ? youngDigestIntervalMs : digestIntervalMs);
    const { zonePeers, foreignRelays } = this.table.views();
    const pool = this.table.selfIsRelay() ? [...zonePeers, ...foreignRelays] : zonePeers;
    for (const target of sample(pool, 1, this.random)) {
      this.sendDigest(target, false, nowMs);
    }
  }
}
