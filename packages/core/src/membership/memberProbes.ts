import {
  digestIntervalMs,
  indirectProbeCount,
  joiningDigestIntervalMs,
  joinPeriodMs,
  maxTimeoutExtensionMs,
  maxVerificationsPerInterval,
  reconnectIntervalMs,
  ringProbesPerInterval,
  roundsPerRemoteProbe,
  seedsPerJoinAttempt,
  suspectProbeIntervalMs,
  timeoutExtensionDecay,
} from './membershipLimits.js';
import type { MemberEntry, MembershipConfig, Seed } from './membershipTypes.js';
import type { MemberOutbox } from './memberOutbox.js';
import { isParticipating } from './memberStamp.js';
import type { MemberTransitions } from './memberTransitions.js';
import type { MemberTable } from './memberTable.js';
import { PendingProbes, type PendingProbe } from './pendingProbes.js';
import { sample, successors } from './sampling.js';

/** Indirect probes pass two links each way, so they get twice the time of a direct probe. */
const indirectTimeoutFactor = 2;

/** Schedules the probes and digests of a host, and its attempts to reach failed hosts and seeds. */
export class MemberProbes {
  private readonly pendingProbes = new PendingProbes();

  private readonly hostIdsToVerify = new Set<string>();

  private nextProbeRoundMs: number;

  private nextSuspectProbesMs = 0;

  private probeRounds = 0;

  private timeoutExtensionMs = 0;

  private nextReconnectMs: number;

  private nextDigestMs: number;

  private readonly startedAtMs: number;

  constructor(
    private readonly self: MemberEntry,
    private readonly table: MemberTable,
    private readonly outbox: MemberOutbox,
    private readonly transitions: MemberTransitions,
    private readonly config: MembershipConfig,
    private readonly random: () => number,
    nowMs: number,
  ) {
    this.nextProbeRoundMs = nowMs + random() * config.probeIntervalMs;
    this.nextReconnectMs = nowMs;
    this.nextDigestMs = nowMs + random() * joiningDigestIntervalMs;
    this.startedAtMs = nowMs;
  }

  tick(nowMs: number): void {
    this.checkPending(nowMs);
    if (nowMs >= this.nextProbeRoundMs) this.runProbeRound(nowMs);
    if (nowMs >= this.nextSuspectProbesMs) this.probeSuspects(nowMs);
    if (nowMs >= this.nextReconnectMs) this.reconnect(nowMs);
    if (nowMs >= this.nextDigestMs) this.sendDigestToRandomHost(nowMs);
  }

  /** Extends probe timeouts after a late tick by twice its delay; the extension then decays. */
  recordTickDelay(lateMs: number): void {
    this.timeoutExtensionMs = Math.min(
      maxTimeoutExtensionMs,
      Math.max(this.timeoutExtensionMs * timeoutExtensionDecay, 2 * lateMs, 0),
    );
  }

  /** Drops pending probes, whose answers may have arrived while this process was stalled. */
  clearPending(): void {
    this.pendingProbes.clear();
  }

  /** Schedules a probe of a host to verify an old failure report. */
  scheduleVerification(entry: MemberEntry): void {
    this.hostIdsToVerify.add(entry.identity.hostId);
  }

  /** Handles an acknowledgement; that of an indirect probe is sent on to its requester. */
  answered(sequence: number, nowMs: number): void {
    const probe = this.pendingProbes.close(sequence);
    if (probe === undefined) return;
    const target = this.table.find(probe.target);
    if (target !== undefined) {
      target.isReachable = true;
      target.hasReceivedIdentity = true;
    }
    if (probe.onBehalfOf === undefined) return;
    const requester = this.table.find(probe.onBehalfOf.hostId);
    if (requester === undefined) return;
    const body = { kind: 'ack' as const, sequence: probe.onBehalfOf.sequence };
    this.outbox.send(requester, body, nowMs);
  }

  /** Probes a host at the request of another one. */
  probeOnBehalfOf(requester: MemberEntry, targetId: string, sequence: number, nowMs: number): void {
    const target = this.table.find(targetId);
    if (target === undefined) return;
    this.startProbe(target, nowMs, { hostId: requester.identity.hostId, sequence });
  }

  /**
   * Requests the records that a host holds.
   *
   * @param after - last host of the previous page; empty for the first page
   * @param zones - zones whose records are requested; all if absent
   */
  requestSync(target: MemberEntry, after: string, nowMs: number, zones?: readonly string[]): void {
    const zoneFilter = zones === undefined ? {} : { zones };
    const body = { kind: 'sync' as const, identity: this.self.identity, after, ...zoneFilter };
    this.outbox.send(target, body, nowMs);
  }

  requestSyncFromSeed(seed: Seed): void {
    const body = { kind: 'sync' as const, identity: this.self.identity, after: '' };
    this.outbox.sendToSeed(seed.hostId, seed.internal, body);
  }

  sendDigest(target: MemberEntry, isAnswer: boolean, nowMs: number): void {
    const body = { kind: 'digest' as const, zones: this.table.digests(), isAnswer };
    this.outbox.send(target, body, nowMs);
  }

  private startProbe(
    target: MemberEntry,
    nowMs: number,
    onBehalfOf?: PendingProbe['onBehalfOf'],
  ): void {
    const probe = this.pendingProbes.open(target.identity.hostId, nowMs, onBehalfOf);
    this.sendProbeMessage(target, probe.sequence, nowMs);
  }

  private ringTargets(ring: readonly MemberEntry[]): MemberEntry[] {
    const positionOf = (entry: MemberEntry) => this.table.ringPosition(entry);
    return successors(ring, positionOf, positionOf(this.self), ringProbesPerInterval);
  }

  private runProbeRound(nowMs: number): void {
    this.nextProbeRoundMs = Math.max(this.nextProbeRoundMs + this.config.probeIntervalMs, nowMs);
    const { zonePeers, remoteRelays } = this.table.views();
    const targets = new Set(this.ringTargets(zonePeers));
    const candidates = [...zonePeers];
    this.probeRounds += 1;
    if (this.table.isSelfRelay() && this.probeRounds % roundsPerRemoteProbe === 0) {
      for (const target of this.ringTargets(remoteRelays)) targets.add(target);
      candidates.push(...remoteRelays);
    }
    for (const target of sample(candidates, 1, this.random)) targets.add(target);
    for (const target of this.takeHostsToVerify()) targets.add(target);
    for (const target of targets) {
      if (!this.pendingProbes.isProbing(target.identity.hostId)) this.startProbe(target, nowMs);
    }
  }

  private takeHostsToVerify(): MemberEntry[] {
    const taken: MemberEntry[] = [];
    for (const hostId of this.hostIdsToVerify) {
      if (taken.length === maxVerificationsPerInterval) break;
      this.hostIdsToVerify.delete(hostId);
      const entry = this.table.find(hostId);
      if (entry !== undefined && isParticipating(entry.state)) taken.push(entry);
    }
    return taken;
  }

  private checkPending(nowMs: number): void {
    const directTimeoutMs = this.config.directTimeoutMs + this.timeoutExtensionMs;
    for (const probe of this.pendingProbes.all()) {
      const waitedMs = nowMs - probe.sentAtMs;
      if (waitedMs >= directTimeoutMs && !probe.hasRequestedIndirectProbes) {
        probe.hasRequestedIndirectProbes = true;
        if (probe.onBehalfOf === undefined) this.requestIndirectProbes(probe, nowMs);
      }
      if (waitedMs >= directTimeoutMs * (1 + indirectTimeoutFactor))
        this.handleProbeTimeout(probe, nowMs);
    }
  }

  private requestIndirectProbes(probe: PendingProbe, nowMs: number): void {
    const target = this.table.find(probe.target);
    if (target === undefined) return;
    target.isReachable = false;
    const { zonePeers, remoteRelays } = this.table.views();
    const aliveOthers = (entries: readonly MemberEntry[]) =>
      entries.filter((entry) => entry !== target && entry.state === 'alive');
    const helpers = sample(aliveOthers(zonePeers), indirectProbeCount, this.random);
    const missingCount = indirectProbeCount - helpers.length;
    helpers.push(...sample(aliveOthers(remoteRelays), missingCount, this.random));
    const { sequence } = probe;
    for (const helper of helpers) {
      const body = { kind: 'probeRequest' as const, sequence, target: probe.target };
      this.outbox.send(helper, body, nowMs);
    }
    this.sendProbeMessage(target, sequence, nowMs);
  }

  private sendProbeMessage(target: MemberEntry, sequence: number, nowMs: number): void {
    const ownIdentity = target.hasReceivedIdentity ? {} : { identity: this.self.identity };
    this.outbox.send(target, { kind: 'probe', sequence, ...ownIdentity }, nowMs);
  }

  private handleProbeTimeout(probe: PendingProbe, nowMs: number): void {
    this.pendingProbes.close(probe.sequence);
    const target = this.table.find(probe.target);
    if (target === undefined || probe.onBehalfOf !== undefined) return;
    if (!isParticipating(target.state)) return;
    this.transitions.suspectLocally(target, nowMs);
    this.probeZoneOf(target, nowMs);
  }

  /** Probes other hosts of an unreachable host's zone to find out whether the zone is cut off. */
  private probeZoneOf(target: MemberEntry, nowMs: number): void {
    const zone = target.identity.availabilityZone;
    if (zone === this.self.identity.availabilityZone) return;
    const others = [...this.table.all()].filter(
      (entry) =>
        entry.identity.availabilityZone === zone &&
        isParticipating(entry.state) &&
        !entry.isSuspectedLocally &&
        !this.pendingProbes.isProbing(entry.identity.hostId),
    );
    for (const entry of sample(others, indirectProbeCount, this.random))
      this.startProbe(entry, nowMs);
  }

  private probeSuspects(nowMs: number): void {
    this.nextSuspectProbesMs = nowMs + suspectProbeIntervalMs;
    for (const entry of this.table.notAlive()) {
      if (entry.state === 'suspected' && entry.isSuspectedLocally) this.startProbe(entry, nowMs);
    }
  }

  /** Contacts a failed host and an unknown seed; several seeds while no other host participates. */
  private reconnect(nowMs: number): void {
    this.nextReconnectMs = nowMs + reconnectIntervalMs;
    const { failed, participantCount } = this.table.views();
    const ownZone = this.self.identity.availabilityZone;
    const candidates = failed.filter(
      (entry) => entry.identity.availabilityZone === ownZone || this.table.isSelfRelay(),
    );
    for (const entry of sample(candidates, 1, this.random)) this.requestSync(entry, '', nowMs);
    const unknownSeeds = this.config.seeds.filter((seed) => {
      if (seed.hostId === this.self.identity.hostId) return false;
      return this.table.find(seed.hostId) === undefined;
    });
    const count = participantCount === 1 ? seedsPerJoinAttempt : 1;
    for (const seed of sample(unknownSeeds, count, this.random)) this.requestSyncFromSeed(seed);
  }

  private sendDigestToRandomHost(nowMs: number): void {
    const isJoining = nowMs - this.startedAtMs < joinPeriodMs;
    this.nextDigestMs = nowMs + (isJoining ? joiningDigestIntervalMs : digestIntervalMs);
    const { zonePeers, remoteRelays } = this.table.views();
    const candidates = this.table.isSelfRelay() ? [...zonePeers, ...remoteRelays] : zonePeers;
    for (const target of sample(candidates, 1, this.random)) {
      this.sendDigest(target, false, nowMs);
    }
  }
}
