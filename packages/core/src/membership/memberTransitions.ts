import type {
  MembershipConfig,
  MemberEntry,
  MemberRecord,
  MemberStamp,
} from './membershipTypes.js';
import { forgetMs, joinMs, zoneCutEvidence } from './membershipLimits.js';
import type { MemberOutbox } from './memberOutbox.js';
import { isAccusation, takesPart } from './memberStamp.js';
import type { MemberTable } from './memberTable.js';
import type { RecordSource } from './recordMerge.js';

/** Carries out changes of what is known of hosts, with their events and news. */
export class MemberStates {
  constructor(
    private readonly self: MemberEntry,
    private readonly table: MemberTable,
    private readonly outbox: MemberOutbox,
    private readonly config: Pick<MembershipConfig, 'suspicionMs'>,
    private readonly startedAtMs: number,
  ) {}

  /** Suspects a host that did not answer a probe from here. */
  accuse(entry: MemberEntry, nowMs: number): void {
    const firstHand = entry;
    firstHand.accusedHere = true;
    if (entry.state === 'suspected') return;
    this.suspect(entry, this.config.suspicionMs, nowMs);
  }

  /** Takes a host as suspected and passes the news on. */
  suspect(entry: MemberEntry, endsInMs: number, nowMs: number): void {
    const changed = entry;
    const endsAtMs = nowMs + endsInMs;
    if (entry.state === 'suspected') {
      changed.suspicionEndsAtMs = Math.min(entry.suspicionEndsAtMs, endsAtMs);
      return;
    }
    changed.state = 'suspected';
    changed.suspicionEndsAtMs = endsAtMs;
    changed.changedAtMs = endsAtMs - this.config.suspicionMs;
    this.table.changed();
    this.outbox.emit('memberSuspected', entry);
    this.outbox.spread(entry, false, nowMs);
  }

  fail(entry: MemberEntry, nowMs: number): void {
    if (entry.state === 'failed') return;
    const changed = entry;
    changed.state = 'failed';
    changed.changedAtMs = nowMs;
    this.table.changed();
    this.outbox.emit('memberFailed', entry);
    this.outbox.spread(entry, false, nowMs);
  }

  /** Ends suspicions that were not contradicted in time. */
  endSuspicions(nowMs: number): void {
    for (const entry of this.table.notAlive()) {
      if (entry.state !== 'suspected' || entry.suspicionEndsAtMs > nowMs) continue;
      this.fail(entry, nowMs);
      this.failCutZone(entry, nowMs);
    }
  }

  /** Moves suspicions by the time in which this process stood still. */
  postponeSuspicions(byMs: number): void {
    for (const entry of this.table.notAlive()) {
      const postponed = entry;
      if (entry.state === 'suspected') postponed.suspicionEndsAtMs += byMs;
    }
  }

  /** Takes over a record of a known process or of a new one. */
  adopt(record: MemberRecord, source: RecordSource, nowMs: number): void {
    const known = this.table.find(record.hostId);
    if (known === undefined || known.incarnation !== record.incarnation) {
      this.adoptProcess(record, known, source, nowMs);
      return;
    }
    const before = known.state;
    known.refutation = record.refutation;
    known.state = record.state;
    known.changedAtMs = nowMs - record.ageMs;
    known.accusedHere = false;
    known.documentVersion = Math.max(known.documentVersion, record.documentVersion);
    known.shiftRevision = Math.max(known.shiftRevision, record.shiftRevision);
    this.table.changed();
    this.announce(known, before, source, nowMs);
  }

  /** Contradicts what others hold of this host. */
  refute(held: MemberStamp, nowMs: number): void {
    const { self } = this;
    if (held.incarnation > self.incarnation) self.incarnation = held.incarnation + 1;
    else self.refutation = Math.max(self.refutation, held.refutation) + 1;
    self.changedAtMs = nowMs;
    this.table.changed();
    this.outbox.spread(self, true, nowMs);
  }

  /** Drops failed and left hosts after the time for which they are remembered. */
  forget(nowMs: number): void {
    const gone = this.table
      .notAlive()
      .filter((entry) => !takesPart(entry.state) && nowMs - entry.changedAtMs > forgetMs);
    for (const entry of gone) this.table.remove(entry.identity.hostId);
  }

  private adoptProcess(
    record: MemberRecord,
    known: MemberEntry | undefined,
    source: RecordSource,
    nowMs: number,
  ): void {
    if (record.identity === undefined) return;
    const suspected = record.state === 'suspected';
    const entry: MemberEntry = {
      identity: record.identity,
      incarnation: record.incarnation,
      refutation: record.refutation,
      state: suspected ? 'alive' : record.state,
      documentVersion: record.documentVersion,
      shiftRevision: record.shiftRevision,
      changedAtMs: nowMs - record.ageMs,
      suspicionEndsAtMs: 0,
      accusedHere: false,
      reachable: true,
      introduced: false,
    };
    this.table.add(entry);
    if (takesPart(entry.state)) {
      this.outbox.emit('memberAlive', entry);
      if (source !== 'sync') this.outbox.queue(entry, true);
      else this.passOn(entry, true, source, nowMs);
    } else if (known !== undefined && takesPart(known.state)) {
      this.outbox.emit(entry.state === 'left' ? 'memberLeft' : 'memberFailed', entry);
      this.passOn(entry, true, source, nowMs);
    }
    if (suspected) this.suspect(entry, this.config.suspicionMs, nowMs);
  }

  /** Tells of a change from one state of a process to the next. */
  private announce(
    entry: MemberEntry,
    before: MemberEntry['state'],
    source: RecordSource,
    nowMs: number,
  ): void {
    if (before === entry.state && entry.state === 'failed') return;
    if (entry.state === 'left') this.outbox.emit('memberLeft', entry);
    else if (isAccusation(before)) this.outbox.emit('memberAlive', entry);
    this.passOn(entry, false, source, nowMs);
  }

  /** Sends news on: at once where it came as news, else with the messages to come. */
  private passOn(
    entry: MemberEntry,
    withIdentity: boolean,
    source: RecordSource,
    nowMs: number,
  ): void {
    if (source !== 'sync') {
      this.outbox.spread(entry, withIdentity, nowMs);
      return;
    }
    if (nowMs - this.startedAtMs > joinMs) this.outbox.queue(entry, withIdentity);
  }

  private failQuietly(entry: MemberEntry, nowMs: number): void {
    const changed = entry;
    changed.state = 'failed';
    changed.changedAtMs = nowMs;
    this.table.changed();
    this.outbox.emit('memberFailed', entry);
    this.outbox.queue(entry, false);
  }

  /** A zone of which several hosts are out of reach from here, and none in reach, is cut off. */
  private failCutZone(failed: MemberEntry, nowMs: number): void {
    const zone = failed.identity.availabilityZone;
    if (zone === this.self.identity.availabilityZone) return;
    const hosts = [...this.table.all()].filter(
      (entry) => entry.identity.availabilityZone === zone && entry.state !== 'left',
    );
    const accused = hosts.filter((entry) => entry.accusedHere);
    if (accused.length < Math.min(zoneCutEvidence, hosts.length)) return;
    for (const entry of hosts) {
      if (takesPart(entry.state)) this.failQuietly(entry, nowMs);
    }
  }
}
