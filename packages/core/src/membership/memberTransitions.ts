import type {
  MembershipConfig,
  MemberEntry,
  MemberRecord,
  MemberStamp,
} from './membershipTypes.js';
import {
  departedRetentionMs,
  joinPeriodMs,
  minSuspicionMs,
  minUnreachableHostsOfCutZone,
  reportedSuspicionFactor,
} from './membershipLimits.js';
import type { MemberOutbox } from './memberOutbox.js';
import { isParticipating, isRefutable } from './memberStamp.js';
import type { MemberTable } from './memberTable.js';
import type { RecordSource } from './recordMerge.js';

/** Monotonic times of a suspicion. */
interface Suspicion {
  readonly sinceMs: number;
  readonly endsAtMs: number;
}

/** Applies state changes to members, emits their events and gossips the changed records. */
export class MemberTransitions {
  constructor(
    private readonly self: MemberEntry,
    private readonly table: MemberTable,
    private readonly outbox: MemberOutbox,
    private readonly config: Pick<MembershipConfig, 'suspicionMs'>,
    private readonly startedAtMs: number,
  ) {}

  /** Suspects a host that did not acknowledge a probe by this host. */
  suspectLocally(entry: MemberEntry, nowMs: number): void {
    const updated = entry;
    updated.isSuspectedLocally = true;
    this.markSuspected(entry, { sinceMs: nowMs, endsAtMs: nowMs + this.config.suspicionMs }, nowMs);
  }

  /**
   * Suspects a host that another one suspects. This host has no evidence of its own, and the refutation may
   * reach it later than the suspicion, so it leaves the conclusion to hosts with evidence for a while.
   *
   * @param remainingMs - time until the suspecting host concludes
   */
  suspectReported(entry: MemberEntry, remainingMs: number, nowMs: number): void {
    const { suspicionMs } = this.config;
    const sinceMs = nowMs + remainingMs - suspicionMs;
    const endsAtMs = sinceMs + reportedSuspicionFactor * suspicionMs;
    this.markSuspected(entry, { sinceMs, endsAtMs }, nowMs);
  }

  /** Suspects a host that another one reports as failed, so that it can still refute that. */
  suspectReportedFailure(entry: MemberEntry, nowMs: number): void {
    const endsAtMs = nowMs + minSuspicionMs;
    const sinceMs = endsAtMs - this.config.suspicionMs;
    this.markSuspected(entry, { sinceMs, endsAtMs }, nowMs);
  }

  /** Suspects a host and disseminates the suspicion; one that exists can only be shortened. */
  private markSuspected(entry: MemberEntry, suspicion: Suspicion, nowMs: number): void {
    const { sinceMs, endsAtMs } = suspicion;
    const updated = entry;
    if (entry.state === 'suspected') {
      updated.suspicionEndsAtMs = Math.min(entry.suspicionEndsAtMs, endsAtMs);
      return;
    }
    updated.state = 'suspected';
    updated.suspicionEndsAtMs = endsAtMs;
    updated.changedAtMs = sinceMs;
    this.table.changed();
    this.outbox.emitEvent('memberSuspected', entry);
    this.outbox.disseminate(entry, false, nowMs);
  }

  markFailed(entry: MemberEntry, nowMs: number): void {
    if (entry.state === 'failed') return;
    const updated = entry;
    updated.state = 'failed';
    updated.changedAtMs = nowMs;
    this.table.changed();
    this.outbox.emitEvent('memberFailed', entry);
    this.outbox.disseminate(entry, false, nowMs);
  }

  /** Marks hosts as failed that did not refute their suspicion in time. */
  failExpiredSuspicions(nowMs: number): void {
    for (const entry of this.table.notAlive()) {
      if (entry.state !== 'suspected' || entry.suspicionEndsAtMs > nowMs) continue;
      this.markFailed(entry, nowMs);
      this.failZoneIfCutOff(entry, nowMs);
    }
  }

  /** Extends suspicions by the time for which this process was stalled. */
  postponeSuspicions(byMs: number): void {
    for (const entry of this.table.notAlive()) {
      const updated = entry;
      if (entry.state === 'suspected') updated.suspicionEndsAtMs += byMs;
    }
  }

  /** Applies a record of a known or new process. */
  adopt(record: MemberRecord, source: RecordSource, nowMs: number): void {
    const known = this.table.find(record.hostId);
    if (known === undefined || known.incarnation !== record.incarnation) {
      this.adoptProcess(record, known, source, nowMs);
      return;
    }
    const previousState = known.state;
    known.refutation = record.refutation;
    known.state = record.state;
    known.changedAtMs = nowMs - record.ageMs;
    known.isSuspectedLocally = false;
    known.documentVersion = Math.max(known.documentVersion, record.documentVersion);
    known.shiftRevision = Math.max(known.shiftRevision, record.shiftRevision);
    this.table.changed();
    this.announce(known, previousState, source, nowMs);
  }

  /** Refutes a stamp that another host has of this one: raises this host's stamp above it. */
  refute(held: MemberStamp, nowMs: number): void {
    const { self } = this;
    if (held.incarnation > self.incarnation) self.incarnation = held.incarnation + 1;
    else self.refutation = Math.max(self.refutation, held.refutation) + 1;
    self.changedAtMs = nowMs;
    this.table.changed();
    this.outbox.disseminate(self, true, nowMs);
  }

  /** Removes failed and left hosts once their retention has passed. */
  removeExpired(nowMs: number): void {
    const expired = this.table
      .notAlive()
      .filter(
        (entry) => !isParticipating(entry.state) && nowMs - entry.changedAtMs > departedRetentionMs,
      );
    for (const entry of expired) this.table.remove(entry.identity.hostId);
  }

  private adoptProcess(
    record: MemberRecord,
    known: MemberEntry | undefined,
    source: RecordSource,
    nowMs: number,
  ): void {
    if (record.identity === undefined) return;
    const isSuspected = record.state === 'suspected';
    const entry: MemberEntry = {
      identity: record.identity,
      incarnation: record.incarnation,
      refutation: record.refutation,
      state: isSuspected ? 'alive' : record.state,
      documentVersion: record.documentVersion,
      shiftRevision: record.shiftRevision,
      changedAtMs: nowMs - record.ageMs,
      suspicionEndsAtMs: 0,
      isSuspectedLocally: false,
      isReachable: true,
      hasReceivedIdentity: false,
    };
    this.table.add(entry);
    if (isParticipating(entry.state)) {
      this.outbox.emitEvent('memberAlive', entry);
      if (source !== 'sync') this.outbox.enqueue(entry, true);
      else this.forward(entry, true, source, nowMs);
    } else if (known !== undefined && isParticipating(known.state)) {
      this.outbox.emitEvent(entry.state === 'left' ? 'memberLeft' : 'memberFailed', entry);
      this.forward(entry, true, source, nowMs);
    }
    if (isSuspected) this.suspectReported(entry, this.config.suspicionMs, nowMs);
  }

  /** Emits the event of a state change of a known process and forwards its record. */
  private announce(
    entry: MemberEntry,
    previousState: MemberEntry['state'],
    source: RecordSource,
    nowMs: number,
  ): void {
    if (previousState === entry.state && entry.state === 'failed') return;
    if (entry.state === 'left') this.outbox.emitEvent('memberLeft', entry);
    else if (isRefutable(previousState)) this.outbox.emitEvent('memberAlive', entry);
    this.forward(entry, false, source, nowMs);
  }

  /** Forwards a record: immediately if it did not come in a sync, else with later messages. */
  private forward(
    entry: MemberEntry,
    withIdentity: boolean,
    source: RecordSource,
    nowMs: number,
  ): void {
    if (source !== 'sync') {
      this.outbox.disseminate(entry, withIdentity, nowMs);
      return;
    }
    if (nowMs - this.startedAtMs > joinPeriodMs) this.outbox.enqueue(entry, withIdentity);
  }

  private markFailedWithoutUrgentMessages(entry: MemberEntry, nowMs: number): void {
    const updated = entry;
    updated.state = 'failed';
    updated.changedAtMs = nowMs;
    this.table.changed();
    this.outbox.emitEvent('memberFailed', entry);
    this.outbox.enqueue(entry, false);
  }

  /** Marks all hosts of another zone as failed if enough of them are unreachable from here. */
  private failZoneIfCutOff(failed: MemberEntry, nowMs: number): void {
    const zone = failed.identity.availabilityZone;
    if (zone === this.self.identity.availabilityZone) return;
    const hosts = [...this.table.all()].filter(
      (entry) => entry.identity.availabilityZone === zone && entry.state !== 'left',
    );
    const suspectedLocally = hosts.filter((entry) => entry.isSuspectedLocally);
    if (suspectedLocally.length < Math.min(minUnreachableHostsOfCutZone, hosts.length)) return;
    for (const entry of hosts) {
      if (isParticipating(entry.state)) this.markFailedWithoutUrgentMessages(entry, nowMs);
    }
  }
}
