import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import type { ProcessVersions, VersionReport } from './documentsSchema.js';

/** Largest number of reports in one message. */
const maxReportsPerMessage = 500;
/** Rounds after which all reports are sent again, for receivers that lost some, as in a restart. */
const roundsPerFullReport = 20;

/** Host, membership and transport that the reports use. */
export interface VersionReportsParts {
  readonly hostId: string;
  /** Members of the control group. */
  readonly members: readonly string[];
  /** Versions in force on this host. */
  readonly held: () => ProcessVersions;
  /** Host from which this host gets its updates. */
  readonly source: () => string | undefined;
  /** Whether a host is still participating. */
  readonly isParticipating: (hostId: string) => boolean;
  /** Records a report in the membership; returns false if the process is not known there yet. */
  readonly recordVersions: (report: VersionReport) => boolean;
  /** Sends reports to another host. */
  readonly send: (to: string, reports: readonly VersionReport[]) => ResultAsync<unknown, Failure>;
}

/** Report with the sequence number of its last change. */
interface StoredReport {
  readonly report: VersionReport;
  readonly sequence: number;
}

/**
 * Collects the versions in force on hosts. A host forwards the reports of the hosts that poll it to
 * its own source; a member of the control group forwards them to the other members, so that each
 * member knows the versions of all hosts.
 */
export class VersionReports {
  /** Reports to forward, by host. */
  private readonly held = new Map<string, StoredReport>();

  /** Reports of processes that the membership does not know yet, by host. */
  private readonly earlyReports = new Map<string, VersionReport>();

  /** Highest sequence number that each receiver has acknowledged. */
  private readonly acknowledgedUpTo = new Map<string, number>();

  /** Receivers with a message in flight. */
  private readonly busyReceivers = new Set<string>();

  private sequence = 0;

  private round = 0;

  constructor(private readonly parts: VersionReportsParts) {}

  /** Records reports; those from another member are not forwarded, so that none circulates. */
  record(fromHostId: string, reports: readonly VersionReport[]): void {
    const isFromMember = this.isMember && this.parts.members.includes(fromHostId);
    for (const report of reports) {
      this.recordLocally(report);
      if (!isFromMember) this.storeIfNewer(report);
    }
  }

  /** Retries reports of processes unknown to the membership; called after the membership changed. */
  recordEarlyReports(): void {
    for (const report of this.earlyReports.values()) this.recordLocally(report);
  }

  /** Forwards new reports, and periodically all of them; to be called at regular intervals. */
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

  /** Stores a report of a later process, or of the same process with higher versions. */
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

  /** Marks all reports to be sent again and drops those of hosts that no longer participate. */
  private prepareFullReport(): void {
    for (const hostId of [...this.held.keys()]) {
      if (!this.parts.isParticipating(hostId)) this.held.delete(hostId);
    }
    this.earlyReports.clear();
    this.acknowledgedUpTo.clear();
  }
}
