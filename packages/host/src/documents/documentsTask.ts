import { setTimeout as delay } from 'node:timers/promises';

import { isParticipating } from '@buckthornlug/core/membership/memberStamp.js';
import { ControlContact } from '@buckthornlug/core/spreading/controlContact.js';
import type { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { controlGroupId } from '../consensus/controlGroupId.js';
import { findConfiguredMembers } from '../consensus/groupMembers.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext, HostRecord } from '../runtime/hostTypes.js';
import { setProcessTimer } from '../runtime/timers.js';
import { TrustedTimes } from '../runtime/trustedTimes.js';
import { DocumentInstaller } from './documentInstaller.js';
import {
  pollReplySchema,
  type ProcessVersions,
  type Poll,
  type PollReply,
  type VersionReport,
} from './documentsSchema.js';
import { UpdatePoller } from './updatePoller.js';
import { UpdateServer } from './updateServer.js';
import { findNewerHost } from './findNewerHost.js';
import { UpdateSources } from './updateSources.js';
import { VersionReports } from './versionReports.js';

/** Wait for a newer version to arrive from the regular source before it is fetched directly. */
const fetchDelayMs = 250;
const controlGroupSource = 'control group';
const dataFolderSource = 'data folder';
/** Longest wait for other hosts before the document from the data folder is put in force. */
const restoreWaitMs = 500;

function parsePollReply(value: unknown): Result<PollReply, Failure> {
  const parsed = pollReplySchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(failure('BL6003', 'the reply to a poll is malformed'));
}

/** Task that keeps the document and the shift steps of a host at the newest version. */
export class DocumentsTask {
  private readonly server: UpdateServer;

  private readonly poller: UpdatePoller;

  private readonly contact: ControlContact;

  private readonly reports: VersionReports;

  private reportTimer: NodeJS.Timeout | undefined;

  private fetchTimer: NodeJS.Timeout | undefined;

  private readonly installer: DocumentInstaller;

  private readonly times: TrustedTimes;

  /**
   * @param parts - provided parts, with the holder of the document in force
   * @param copy - copy that the task keeps up to date
   * @param persist - writes the newest version; resolves once it is synced, undefined without a data
   *   folder
   */
  constructor(
    private readonly context: HostContext,
    private readonly parts: HostParts,
    private readonly copy: ControlCopy,
    persist: () => Promise<void> | undefined,
  ) {
    this.contact = new ControlContact(context.clock.nowMs());
    this.times = new TrustedTimes(context.clock);
    context.clock.onBreak?.(() => this.contact.forget());
    this.server = new UpdateServer(copy);
    this.installer = new DocumentInstaller(context, parts.document, copy, persist);
    this.reports = this.createReports();
    const sources = this.createSources();
    this.poller = new UpdatePoller({
      sources: () => sources.list(),
      have: () => this.copy.versions(),
      pollHost: (hostId, have, waitMs, timeLimitMs) =>
        this.pollHost(hostId, have, waitMs, timeLimitMs),
      apply: (update, source) => this.apply(update, source),
      whenInstalled: () => this.installer.whenInstalled(),
      retryDelayMs: () => context.settings.timing.documentPollMs * (0.5 + context.random()),
      minPatienceMs: context.settings.timing.rpcTimeoutMs,
      nowMs: context.clock.nowMs,
      setTimer: setProcessTimer,
    });
  }

  /** Runs until the task is stopped. */
  run(): Promise<void> {
    this.reportTimer = setInterval(() => {
      this.reports.forward().catch((error: unknown) => {
        this.context.log.error('versionReportsFailed', { problem: String(error) });
      });
    }, this.context.settings.timing.documentPollMs);
    return this.poller.run();
  }

  stop(): void {
    clearTimeout(this.fetchTimer);
    clearInterval(this.reportTimer);
    this.poller.stop();
    this.server.stop();
  }

  /** Applies an update; sections and steps that are not newer change nothing. */
  apply(update: ControlUpdate, source: string): void {
    const outcome = this.copy.apply(update);
    if (outcome.newSteps.length > 0) {
      this.parts.shiftSteps.changed();
    }
    if (outcome.isDocumentChanged) {
      this.installer.install(source, outcome.changedSections.length);
    }
    if (outcome.isDocumentChanged || outcome.newSteps.length > 0) this.server.resumePolls();
  }

  /** Applies what the control group has committed, on its members. */
  applyCommitted(): void {
    const update = this.parts.controlState?.updateSince(this.copy.versions());
    if (update !== undefined) this.apply(update, controlGroupSource);
  }

  /** Answers the poll of another host and records the versions that the poll confirms. */
  async answer(fromHostId: string, poll: Poll): Promise<PollReply> {
    this.reports.record(fromHostId, [{ hostId: fromHostId, ...poll.held }]);
    const own = this.copy.versions();
    const isBehind = poll.have.version > own.version || poll.have.shiftRevision > own.shiftRevision;
    if (isBehind) this.scheduleFetch();
    const update = await this.server.answer(poll.have, poll.waitMs);
    return { update, silentMs: this.controlSilentMs() };
  }

  /** Time since the moment before which this host held all that the control group had committed. */
  controlSilentMs(): number {
    const nowMs = this.context.clock.nowMs();
    const { controlState } = this.parts;
    if (controlState !== undefined) this.contact.heard(controlState.stateAgeMs(), nowMs);
    return this.contact.silentMs(nowMs);
  }

  /** Re-evaluates the source and the newest known version after a change of the membership. */
  onMembershipChanged(): void {
    this.poller.restartAtBestSource();
    this.reports.recordEarlyReports();
    if (this.findNewerHost() !== undefined) this.scheduleFetch();
  }

  /** Records reports of the versions that hosts have in force. */
  recordReports(fromHostId: string, reports: readonly VersionReport[]): void {
    this.reports.record(fromHostId, reports);
  }

  private createSources(): UpdateSources {
    const { settings } = this.context;
    return new UpdateSources({
      settings,
      controlMembers: findConfiguredMembers(settings, controlGroupId),
      membership: () => this.parts.membership,
      zoneRelays: () => this.parts.membershipTask?.relaysOf(settings.availabilityZone) ?? [],
    });
  }

  /** Versions that this process confirms. */
  private held(): ProcessVersions {
    const { incarnation } = this.parts.membership.self();
    return { incarnation, ...this.installer.versionsInForce() };
  }

  private createReports(): VersionReports {
    const { hostId } = this.context.settings;
    return new VersionReports({
      hostId,
      members: findConfiguredMembers(this.context.settings, controlGroupId),
      held: () => this.held(),
      source: () => this.poller.source,
      isParticipating: (other) => {
        const host = this.parts.membership.find(other);
        return host !== undefined && isParticipating(host.state);
      },
      recordVersions: ({ hostId: other, incarnation, version, shiftRevision }) => {
        const heldVersions = { documentVersion: version, shiftRevision };
        return this.parts.membershipTask?.recordVersions(other, incarnation, heldVersions) ?? true;
      },
      send: (to, reports) =>
        this.parts.peers.request(to, (client, signal) =>
          client.documents.report.mutate([...reports], { signal }),
        ),
    });
  }

  private async pollHost(
    hostId: string,
    have: ControlVersions,
    waitMs: number,
    timeLimitMs = this.context.settings.timing.rpcTimeoutMs,
  ) {
    const { nowMs } = this.context.clock;
    const sentAtMs = nowMs();
    const answer = await this.parts.peers.request(
      hostId,
      (client, signal) =>
        client.documents.poll.mutate({ have, held: this.held(), waitMs }, { signal }),
      waitMs + timeLimitMs,
    );
    return answer.andThen(parsePollReply).map(({ update, silentMs }) => {
      // A reply without an update was sent at the end of the wait.
      const heldMs = update === null ? waitMs : 0;
      const onTheWayMs = Math.max(0, nowMs() - sentAtMs - heldMs);
      if (this.times.isTrusted(sentAtMs)) this.contact.heard(silentMs + onTheWayMs, nowMs());
      return update;
    });
  }

  /**
   * Restores the document from the data folder. Other hosts are polled first, so that a host that
   * was down does not put an old version in force while a newer one is available.
   */
  async restore(stored: ControlUpdate): Promise<void> {
    this.installer.pause();
    this.apply(stored, dataFolderSource);
    await Promise.race([
      this.poller.pollSeveral(),
      delay(restoreWaitMs, undefined, { ref: false }),
    ]);
    this.installer.resume(dataFolderSource, stored.sections.length);
  }

  private findNewerHost(): HostRecord | undefined {
    return findNewerHost(this.context.settings.hostId, this.parts.membership, this.copy.versions());
  }

  private scheduleFetch(): void {
    if (this.fetchTimer !== undefined) return;
    this.fetchTimer = setTimeout(() => {
      this.fetchTimer = undefined;
      const newest = this.findNewerHost();
      if (newest === undefined) return;
      this.poller.fetchFrom(newest.hostId).catch((error: unknown) => {
        this.context.log.error('documentFetchFailed', { problem: String(error) });
      });
    }, fetchDelayMs);
  }
}
