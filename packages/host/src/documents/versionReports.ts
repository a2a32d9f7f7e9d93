import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import type { ProcessVersions, VersionReport } from './documentsSchema.js';

/** Reports of other hosts in one message. */
const maxReportsPerMessage = 500;
/** Rounds after which all reports are sent again, for a receiver that missed some. */
const roundsPerFullReport = 20;

/** What the reports are given. */
export interface VersionReportsParts {
  readonly hostId: string;
  /** Members of the control group. */
  readonly members: readonly string[];
  /** What this host has in force itself. */
  readonly held: () => ProcessVersions;
  /** Host that this one gets its updates from. */
  readonly source: () => string | undefined;
  /** Whether a host still takes part. */
  readonly isParticipating: (hostId: string) => boolean;
  /** Tells the membership of this host; false where it does not know that process yet. */
  readonly recordVersions: (report: VersionReport) => boolean;
  /** Sends reports to another host. */
  readonly send: (to: string, reports: readonly VersionReport[]) => ResultAsync<unknown, Failure>;
}

/** A report with its place in the order of news. */
interface StoredReport {
  readonly report: VersionReport;
  readonly sequence: number;
}

/**
 * Versions that hosts hold, on their way up. A host passes what it hears from below to its source;
 * a member of the control group passes it to the other members, so that each knows of all hosts.
 */
export class VersionReports {
  /** Reports that came from below, by host. */
  private readonly held = new Map<string, StoredReport>();

  /** Reports of processes that the membership does not know yet, by host. */
  private readonly earlyReports = new Map<string, VersionReport>();

  /** Sequence up to which each receiver has taken the reports. */
  private readonly acknowledgedUpTo = new Map<string, number>();

  /** Receivers that a message is on its way to. */
  private readonly busyReceivers = new Set<string>();

  private sequence = 0;

  private round = 0;

  constructor(private readonly parts: VersionReportsParts) {}

  /** Notes reports; those of a fellow member are not passed on. */
  record(fromHostId: string, reports: readonly VersionReport[]): void {
    const isFromMember = this.isMember && this.parts.members.includes(fromHostId);
    for (const report of reports) {
      this.recordLocally(report);
      if (!isFromMember) this.storeIfNewer(report);
    }
  }

  /** Notes reports that came before the membership knew their process; after it has changed. */
  recordEarlyReports(): void {
    for (const report of this.earlyReports.values()) this.recordLocally(report);
  }

  /** Passes on what is new, and now and then everything; to be called regularly. */
  async forward(): Promise<void> {
    const { hostId, held } = this.parts;
    this.round += 1;
    if (this.round % roundsPerFullReport === 0) this.prepareFullReport();
    if (this.isMember) this.storeIfNewer({ hostId, ...held() });
    const idleReceivers = this.receivers().filter((receiver) => !this.busyReceivers.has(receiver));
    await Promise.all(
      idleReceivers.map(async (receiver) => {
        this.busyReceivers.add(receiver);
        await this.forwardTo(receiver);
        this.busyReceivers.delete(receiver);
      }),
    );
  }

  private get isMember(): boolean {
    return this.parts.members.includes(this.parts.hostId);
  }

  private receivers(): string[] {
    const { hostId, members, source, isParticipating } = this.parts;
    if (this.isMember)
      return members.filter((member) => member !== hostId && isParticipating(member));
    const currentSource = source();
    return currentSource === undefined ? [] : [currentSource];
  }

  private async forwardTo(receiver: string): Promise<void> {
    const acknowledgedUpTo = this.acknowledgedUpTo.get(receiver) ?? 0;
    if (acknowledgedUpTo === this.sequence) return;
    const newReports = [...this.held.values()]
      .filter((entry) => entry.sequence > acknowledgedUpTo)
      .sort((left, right) => left.sequence - right.sequence);
    for (let first = 0; first < newReports.length; first += maxReportsPerMessage) {
      const page = newReports.slice(first, first + maxReportsPerMessage);
      const sent = await this.parts.send(
        receiver,
        page.map((entry) => entry.report),
      );
      if (sent.isErr()) return;
      this.acknowledgedUpTo.set(receiver, page.at(-1)?.sequence ?? acknowledgedUpTo);
    }
  }

  private recordLocally(report: VersionReport): void {
    if (this.parts.recordVersions(report)) this.earlyReports.delete(report.hostId);
    else this.earlyReports.set(report.hostId, report);
  }

  /** Keeps a report that is newer: of a later process, or of the same one with higher versions. */
  private storeIfNewer(report: VersionReport): void {
    const { hostId, incarnation } = report;
    const known = this.held.get(hostId)?.report;
    if (known !== undefined && known.incarnation > incarnation) return;
    const previous = known?.incarnation === incarnation ? known : undefined;
    const version = Math.max(report.version, previous?.version ?? 0);
    const shiftRevision = Math.max(report.shiftRevision, previous?.shiftRevision ?? 0);
    if (previous?.version === version && previous.shiftRevision === shiftRevision) return;
    this.sequence += 1;
    const newest = { hostId, incarnation, version, shiftRevision };
    this.held.set(hostId, { report: newest, sequence: this.sequence });
  }

  /** Has everything passed on again, but for hosts that no longer take part. */
  private prepareFullReport(): void {
    for (const hostId of [...this.held.keys()]) {
      if (!this.parts.isParticipating(hostId)) this.held.delete(hostId);
    }
    this.earlyReports.clear();
    this.acknowledgedUpTo.clear();
  }
}
