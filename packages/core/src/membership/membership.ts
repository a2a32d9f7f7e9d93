import { MemberOutbox } from './memberOutbox.js';
import { MemberProbes } from './memberProbes.js';
import { MemberTransitions } from './memberTransitions.js';
import { MemberTable } from './memberTable.js';
import {
  maxHostsForVersionGossip,
  maxRecordsPerSyncPage,
  maxZonesPerSync,
  minStallMs,
} from './membershipLimits.js';
import type {
  HeldVersions,
  MemberEntry,
  MemberIdentity,
  MemberMessage,
  MemberRecord,
  MembershipConfig,
  MembershipEffect,
} from './membershipTypes.js';
import { compareStamps, isParticipating, isRefutable } from './memberStamp.js';
import { decideMerge, type RecordSource } from './recordMerge.js';

/**
 * Failure detection and gossip membership of hosts as a state machine. Each host probes a bounded
 * number of others, whatever the number of hosts, and records are piggybacked on the probes. Inside
 * a zone every host probes; between zones only a few relays of each zone do.
 *
 * Times are monotonic milliseconds. Each step returns the effects that the runner has to carry out.
 */
export class MembershipMachine {
  private readonly self: MemberEntry;

  private readonly table: MemberTable;

  private readonly outbox: MemberOutbox;

  private readonly transitions: MemberTransitions;

  private readonly probes: MemberProbes;

  private lastTickMs: number;

  /**
   * @param identity - this host
   * @param incarnation - wall time of the start of this process
   * @param random - source of random numbers in [0, 1)
   * @param nowMs - monotonic time
   */
  constructor(
    identity: MemberIdentity,
    incarnation: number,
    private readonly config: MembershipConfig,
    random: () => number,
    nowMs: number,
  ) {
    this.self = {
      identity,
      incarnation,
      refutation: 0,
      state: 'alive',
      documentVersion: 0,
      shiftRevision: 0,
      changedAtMs: nowMs,
      suspicionEndsAtMs: 0,
      isSuspectedLocally: false,
      isReachable: true,
      hasReceivedIdentity: true,
    };
    this.table = new MemberTable(this.self);
    this.outbox = new MemberOutbox(this.self, this.table, random);
    this.transitions = new MemberTransitions(this.self, this.table, this.outbox, config, nowMs);
    this.probes = new MemberProbes(
      this.self,
      this.table,
      this.outbox,
      this.transitions,
      config,
      random,
      nowMs,
    );
    this.lastTickMs = nowMs;
  }

  /** All known hosts, including this one. */
  members(): MemberEntry[] {
    return [...this.table.all()];
  }

  find(hostId: string): MemberEntry | undefined {
    return this.table.find(hostId);
  }

  ownEntry(): MemberEntry {
    return this.self;
  }

  /** Number that rises with each change of the membership. */
  revision(): number {
    return this.table.revision();
  }

  /** Hosts of a zone that exchange records with other zones. */
  relaysOf(availabilityZone: string): readonly MemberEntry[] {
    return this.table.views().relaysByZone.get(availabilityZone) ?? [];
  }

  /** Runs everything that is due. */
  tick(nowMs: number): MembershipEffect[] {
    const gapMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    this.probes.recordTickDelay(gapMs - this.config.tickMs);
    if (gapMs > minStallMs) {
      this.probes.clearPending();
      this.transitions.postponeSuspicions(gapMs);
    }
    if (this.self.state === 'left') return this.outbox.takeEffects();
    this.probes.tick(nowMs);
    this.transitions.failExpiredSuspicions(nowMs);
    this.transitions.removeExpired(nowMs);
    return this.outbox.takeEffects();
  }

  /** Raises the versions of the control group's state that this host holds. */
  setVersions(held: HeldVersions, nowMs: number): MembershipEffect[] {
    const isGossiped = this.mayGossipVersions(this.self);
    const isChanged = this.raiseVersions(this.self, held);
    if (isChanged && isGossiped) this.outbox.disseminate(this.self, false, nowMs);
    return this.outbox.takeEffects();
  }

  /**
   * Records the versions that a process reported, without gossip. Reports of a former process of
   * the host are ignored.
   *
   * @returns false if the process is not known yet
   */
  recordVersions(hostId: string, incarnation: number, held: HeldVersions): boolean {
    const entry = this.table.find(hostId);
    if (entry === undefined || entry.incarnation < incarnation) return false;
    if (entry.incarnation === incarnation) this.raiseVersions(entry, held);
    return true;
  }

  /** Announces that this host takes no new work (`leaving`) or has stopped (`left`). */
  leave(state: 'leaving' | 'left', nowMs: number): MembershipEffect[] {
    this.self.state = state;
    this.self.refutation += 1;
    this.self.changedAtMs = nowMs;
    this.table.changed();
    this.outbox.disseminate(this.self, false, nowMs);
    return this.outbox.takeEffects();
  }

  /** Handles a message of another host. */
  receive(message: MemberMessage, nowMs: number): MembershipEffect[] {
    if (message.to !== this.self.identity.hostId || this.self.state === 'left') return [];
    if (message.heldOfYou !== undefined) this.refuteIfNeeded(message.heldOfYou, nowMs);
    const { hostId } = message.from;
    this.mergeSender(message, nowMs);
    const sender = this.table.find(hostId);
    if (sender === undefined) {
      this.syncWithUnknownSender(message);
      return this.outbox.takeEffects();
    }
    if (isParticipating(sender.state)) this.mergeRecords(message, nowMs);
    this.dispatch(message, sender, nowMs);
    return this.outbox.takeEffects();
  }

  private mergeSender(message: MemberMessage, nowMs: number): void {
    const listedRecord = message.records.find((record) => record.hostId === message.from.hostId);
    const sentIdentity =
      message.kind === 'sync' || message.kind === 'probe' ? message.identity : undefined;
    const identity = sentIdentity ?? listedRecord?.identity;
    const record = { ...message.from, ageMs: 0, ...(identity === undefined ? {} : { identity }) };
    this.merge(record, 'direct', message.from.hostId, nowMs);
  }

  private mergeRecords(message: MemberMessage, nowMs: number): void {
    const source = message.kind === 'sync' || message.kind === 'syncReply' ? 'sync' : 'gossip';
    for (const record of message.records) {
      if (record.hostId === message.from.hostId) continue;
      this.merge(record, source, message.from.hostId, nowMs);
    }
  }

  private merge(record: MemberRecord, source: RecordSource, from: string, nowMs: number): void {
    if (record.hostId === this.self.identity.hostId) {
      this.mergeRecordOfSelf(record, nowMs);
      return;
    }
    const entry = this.table.find(record.hostId);
    const outcome = decideMerge(entry, record, source, this.config.suspicionMs, nowMs);
    if (outcome.decision === 'adopt') this.transitions.adopt(record, source, nowMs);
    if (outcome.decision === 'askIdentity') this.requestRecords(from, nowMs);
    if (entry === undefined) return;
    if (outcome.decision === 'suspect' || outcome.decision === 'suspectFailure') {
      entry.refutation = record.refutation;
      this.table.changed();
    }
    if (outcome.decision === 'suspect') {
      this.transitions.suspectReported(entry, outcome.remainingMs, nowMs);
    }
    if (outcome.decision === 'suspectFailure') {
      this.transitions.suspectReportedFailure(entry, nowMs);
    }
    if (outcome.decision === 'fail') {
      entry.refutation = record.refutation;
      this.transitions.markFailed(entry, nowMs);
    }
    if (outcome.decision === 'verify') this.probes.scheduleVerification(entry);
    if (outcome.decision === 'updateVersions') this.updateVersions(entry, record);
  }

  private updateVersions(entry: MemberEntry, held: HeldVersions): void {
    const isGossiped = this.mayGossipVersions(entry);
    this.raiseVersions(entry, held);
    if (isGossiped) this.outbox.enqueue(entry, false);
  }

  /** Raises the versions of an entry; returns whether one of them changed. */
  private raiseVersions(entry: MemberEntry, held: HeldVersions): boolean {
    const updated = entry;
    const isNewer =
      held.documentVersion > entry.documentVersion || held.shiftRevision > entry.shiftRevision;
    if (!isNewer) return false;
    updated.documentVersion = Math.max(entry.documentVersion, held.documentVersion);
    updated.shiftRevision = Math.max(entry.shiftRevision, held.shiftRevision);
    this.table.markVersionsChanged();
    return true;
  }

  /** Whether a change of the versions in an entry is gossiped; hosts without a document get no callers. */
  private mayGossipVersions({ documentVersion }: HeldVersions): boolean {
    if (documentVersion === 0) return true;
    return this.table.views().participantCount <= maxHostsForVersionGossip;
  }

  /** Refutes a record of this host, or reports a newer process that runs at another address. */
  private mergeRecordOfSelf(record: MemberRecord, nowMs: number): void {
    const isNewerProcess = record.incarnation > this.self.incarnation;
    if (isNewerProcess && record.identity !== undefined) {
      const { address, port } = record.identity.internal;
      const ownEndpoint = this.self.identity.internal;
      if (address !== ownEndpoint.address || port !== ownEndpoint.port) {
        this.outbox.emitIdentityConflict(record.incarnation);
        return;
      }
    }
    this.refuteIfNeeded(record, nowMs);
  }

  private refuteIfNeeded(
    held: MemberRecord | NonNullable<MemberMessage['heldOfYou']>,
    nowMs: number,
  ) {
    const isReportedDown = isRefutable(held.state) || held.state === 'left';
    const isNewerProcess = held.incarnation > this.self.incarnation;
    if (!isReportedDown && !isNewerProcess) return;
    if (compareStamps(held, this.self) > 0) this.transitions.refute(held, nowMs);
  }

  /** Requests all records of a host that sent a record of an unknown process. */
  private requestRecords(hostId: string, nowMs: number): void {
    const entry = this.table.find(hostId);
    if (entry !== undefined) this.probes.requestSync(entry, '', nowMs);
  }

  /** Requests the records of an unknown sender to learn its identity, if the sender is a seed. */
  private syncWithUnknownSender(message: MemberMessage): void {
    const seed = this.config.seeds.find((candidate) => candidate.hostId === message.from.hostId);
    if (seed === undefined) return;
    this.probes.requestSyncFromSeed(seed);
  }

  private dispatch(message: MemberMessage, sender: MemberEntry, nowMs: number): void {
    if (message.kind === 'probe') {
      const { sequence } = message;
      this.outbox.send(sender, { kind: 'ack', sequence }, nowMs);
    }
    if (message.kind === 'ack') this.probes.answered(message.sequence, nowMs);
    if (message.kind === 'probeRequest') {
      this.probes.probeOnBehalfOf(sender, message.target, message.sequence, nowMs);
    }
    if (message.kind === 'digest') this.compareDigests(sender, message, nowMs);
    if (message.kind === 'sync') this.replyToSync(sender, message.after, message.zones, nowMs);
    if (message.kind === 'syncReply' && message.continueAfter !== undefined) {
      this.probes.requestSync(sender, message.continueAfter, nowMs, message.zones);
    }
  }

  private compareDigests(
    sender: MemberEntry,
    message: Extract<MemberMessage, { readonly kind: 'digest' }>,
    nowMs: number,
  ): void {
    const zones = this.table.differingZones(message.zones).slice(0, maxZonesPerSync);
    if (zones.length === 0) return;
    this.probes.requestSync(sender, '', nowMs, zones);
    if (!message.isAnswer) this.probes.sendDigest(sender, true, nowMs);
  }

  private replyToSync(
    sender: MemberEntry,
    after: string,
    zones: readonly string[] | undefined,
    nowMs: number,
  ): void {
    const remaining = this.members()
      .filter((entry) => entry.identity.hostId > after)
      .filter((entry) => zones?.includes(entry.identity.availabilityZone) ?? true)
      .sort((left, right) => (left.identity.hostId < right.identity.hostId ? -1 : 1));
    const page = remaining.slice(0, maxRecordsPerSyncPage);
    const lastHostId = page.at(-1)?.identity.hostId;
    const hasMore = remaining.length > page.length && lastHostId !== undefined;
    const body = {
      kind: 'syncReply' as const,
      ...(zones === undefined ? {} : { zones }),
      ...(hasMore ? { continueAfter: lastHostId } : {}),
    };
    this.outbox.sendRecords(sender, body, page, nowMs);
  }
}
