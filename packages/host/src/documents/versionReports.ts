import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import type { HeldByProcess, VersionReport } from './documentsSchema.js';

/** Reports of other hosts in one message. */
const maxReports = 500;
/** Rounds after which all reports are sent again, for a receiver that missed some. */
const roundsPerFullReport = 20;

/** What the reports are given. */
export interface VersionReportsParts {
  readonly hostId: string;
  /** Members of the control group. */
  readonly members: readonly string[];
  /** What this host has in force itself. */
  readonly held: () => HeldByProcess;
  /** Host that this one gets its updates from. */
  readonly source: () => string | undefined;
  /** Whether a host still takes part. */
  readonly isKnown: (hostId: string) => boolean;
  /** Tells the membership of this host; false where it does not know that process yet. */
  readonly noteVersions: (report: VersionReport) => boolean;
  /** Sends reports to another host. */
  readonly send: (to: string, reports: readonly VersionReport[]) => ResultAsync<unknown, Failure>;
}

/** A report with its place in the order of news. */
interface HeldReport {
  readonly report: VersionReport;
  readonly sequence: number;
}

/**
 * Versions that hosts hold, on their way up. A host passes what it hears from below to its source;
 * a member of the control group passes it to the other members, so that each knows of all hosts.
 */
export class VersionReports {
  /** Reports that came from below, by host. */
  private readonly held = new Map<string, HeldReport>();

  /** Reports of processes that the membership does not know yet, by host. */
  private readonly early = new Map<string, VersionReport>();

  /** Sequence up to which each receiver has taken the reports. */
  private readonly takenUpTo = new Map<string, number>();

  /** Receivers that a message is on its way to. */
  private readonly passing = new Set<string>();

  private sequence = 0;

  private round = 0;

  constructor(private readonly parts: VersionReportsParts) {}

  /** Notes reports; those of a fellow member are not passed on. */
  note(fromHostId: string, reports: readonly VersionReport[]): void {
    const isFellow = this.isMember && this.parts.members.includes(fromHostId);
    for (const report of reports) {
      this.noteHere(report);
      if (!isFellow) this.keep(report);
    }
  }

  /** Notes reports that came before the membership knew their process; after it has changed. */
  noteAgain(): void {
    for (const report of this.early.values()) this.noteHere(report);
  }

  /** Passes on what is new, and now and then everything; to be called regularly. */
  async passOn(): Promise<void> {
    const { hostId, held } = this.parts;
    this.round += 1;
    if (this.round % roundsPerFullReport === 0) this.startAnew();
    if (this.isMember) this.keep({ hostId, ...held() });
    const free = this.receivers().filter((receiver) => !this.passing.has(receiver));
    await Promise.all(
      free.map(async (receiver) => {
        this.passing.add(receiver);
        await this.passTo(receiver);
        this.passing.delete(receiver);
      }),
    );
  }

  private get isMember(): boolean {
    return this.parts.members.includes(this.parts.hostId);
  }

  private receivers(): string[] {
    const { hostId, members, source, isKnown } = this.parts;
    if (this.isMember) return members.filter((member) => member !== hostId && isKnown(member));
    const above = source();
    return above === undefined ? [] : [above];
  }

  private async passTo(receiver: string): Promise<void> {
    const takenUpTo = this.takenUpTo.get(receiver) ?? 0;
    if (takenUpTo === this.sequence) return;
    const news = [...this.held.values()]
      .filter((entry) => entry.sequence > takenUpTo)
      .sort((left, right) => left.sequence - right.sequence);
    for (let first = 0; first < news.length; first += maxReports) {
      const page = news.slice(first, first + maxReports);
      const sent = await this.parts.send(
        receiver,
        page.map((entry) => entry.report),
      );
      if (sent.isErr()) return;
      this.takenUpTo.set(receiver, page.at(-1)?.sequence ?? takenUpTo);
    }
  }

  private noteHere(report: VersionReport): void {
    if (this.parts.noteVersions(report)) this.early.delete(report.hostId);
    else this.early.set(report.hostId, report);
  }

  /** Keeps a report that is newer: of a later process, or of the same one with higher versions. */
  private keep(report: VersionReport): void {
    const { hostId, incarnation } = report;
    const known = this.held.get(hostId)?.report;
    if (known !== undefined && known.incarnation > incarnation) return;
    const before = known?.incarnation === incarnation ? known : undefined;
    const version = Math.max(report.version, before?.version ?? 0);
    const shiftRevision = Math.max(report.shiftRevision, before?.shiftRevision ?? 0);
    if (before?.version === version && before.shiftRevision === shiftRevision) return;
    this.sequence += 1;
    const newest = { hostId, incarnation, version, shiftRevision };
    this.held.set(hostId, { report: newest, sequence: this.sequence });
  }

  /** Has everything passed on again, but for hosts that no longer take part. */
  private startAnew(): void {
    for (const hostId of [...this.held.keys()]) {
      if (!this.parts.isKnown(hostId)) this.held.delete(hostId);
    }
    this.early.clear();
    this.takenUpTo.clear();
  }
}
