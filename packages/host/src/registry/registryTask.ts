import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';

import type { BackendReportAges, LeavingBackend } from '../routing/routingPollSchema.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup } from '../submissions/controlGroup.js';
import { BackendReportTimes } from './backendReportTimes.js';

/** Handles the reports of backend servers on a control host. */

/**
 * Interval of forwarding report times to the leader, and of searches for silent backend servers.
 */
const taskIntervalMs = 1000;
/** Largest age of a report that is forwarded to the leader; covers one lost request. */
const forwardMaxAgeMs = 2500;
/**
 * Age of the committed state above which reports are refused, so that they go to another control host: an
 * old registry may hold a report that a newer one has replaced.
 */
const maxStateAgeMs = 1500;
/**
 * Time by which a backend server may claim to start later than now, for clocks that differ. A start
 * further ahead would outrank all later incarnations at its address.
 */
const maxStartAheadMs = 600_000;
/** Time limit of a commit; a backend server does not wait longer for an acknowledgement. */
const commitTimeoutMs = 900;

function futureStartFailure(): Failure {
  return failure('BL4001', 'the start is in the future');
}

/** Registers and drains backend servers, and removes those that leave or fall silent. */
export class RegistryTask {
  private readonly heard: BackendReportTimes;

  private readonly timer: NodeJS.Timeout;

  private wasLeader = false;

  /**
   * @param reportIntervalMs - interval of the reports of a backend server
   */
  constructor(
    private readonly context: HostContext,
    private readonly parts: Pick<HostParts, 'peers'>,
    private readonly control: ControlGroup,
    reportIntervalMs: number,
  ) {
    this.heard = new BackendReportTimes(reportIntervalMs, context.clock.nowMs());
    this.timer = setInterval(() => this.runPeriodicWork(), taskIntervalMs);
  }

  /**
   * Handles a report. Resolves once its content is committed, so that all control hosts will hold
   * it and the backend server may rely on it.
   *
   * @param report - validated report
   * @returns BL4001 for a start in the future, BL5001 if the state of this host is not confirmed,
   *   BL5002 if the outcome of the commit is not known
   */
  report(report: BackendReport): ResultAsync<void, Failure> {
    if (this.isFarAhead(report.bornAtMs)) {
      return errAsync(this.refused(report.backendId, futureStartFailure()));
    }
    if (this.control.stateAgeMs() > maxStateAgeMs) {
      return errAsync(failure('BL5001', 'the state of this control host is not confirmed'));
    }
    const { clock, log, metrics } = this.context;
    metrics.count('backend_reports_total');
    const { registry } = this.control.machine;
    const atMs = clock.wallMs();
    this.heard.record(report.backendId, clock.nowMs());
    if (!registry.isChange(report, atMs)) return okAsync(undefined);
    const { backendId, state, sequence, service, availabilityZone, bornAtMs, coldForMs } = report;
    const fields = { backendId, state, sequence, service, availabilityZone, bornAtMs, coldForMs };
    return this.control
      .commit({ type: 'noteBackend', report, atMs }, commitTimeoutMs)
      .map(() => log.info('backendNoted', fields))
      .mapErr((problem) => this.refused(backendId, problem));
  }

  /**
   * Removes a backend server that leaves. The command names an incarnation, so that a copy that is committed
   * late does not remove a later one.
   *
   * @param bornAtMs - its incarnation; the one that is registered now if undefined
   * @returns BL4001 for a start in the future, BL5001 if no incarnation is named or known, or nothing was
   *   proposed; BL5002 if the outcome of the commit is not known
   */
  removeBackend(
    backendId: string,
    bornAtMs = this.control.machine.registry.find(backendId)?.bornAtMs,
  ): ResultAsync<void, Failure> {
    if (bornAtMs === undefined) {
      const problem = failure('BL5001', `this host knows no backend server "${backendId}"`);
      return errAsync(this.refused(backendId, problem));
    }
    if (this.isFarAhead(bornAtMs)) return errAsync(this.refused(backendId, futureStartFailure()));
    const command = { type: 'removeBackend', backendId, bornAtMs, reason: 'left' } as const;
    return this.control
      .commit(command, commitTimeoutMs)
      .map(() => this.context.log.info('backendLeft', { backendId }))
      .mapErr((problem) => this.refused(backendId, problem));
  }

  /**
   * Drains a backend server that announced its departure in an answer. Rejects if the control group
   * did not commit it, so that the reporting host tries another control host.
   */
  async drainLeaving({ backendId, bornAtMs }: LeavingBackend): Promise<void> {
    const known = this.control.machine.registry.find(backendId);
    if (known === undefined || known.bornAtMs !== bornAtMs || known.state !== 'ready') return;
    const { service, availabilityZone, endpoint, slots, sequence } = known;
    const report: BackendReport = {
      backendId,
      bornAtMs,
      service,
      availabilityZone,
      endpoint,
      slots,
      sequence,
      state: 'draining',
      coldForMs: 0,
    };
    const command = { type: 'noteBackend', report, atMs: this.context.clock.wallMs() } as const;
    const committed = await this.control.commit(command, commitTimeoutMs);
    if (committed.isErr()) throw new Error(this.refused(backendId, committed.error).detail);
    this.context.log.info('leavingBackendDrained', { backendId, bornAtMs });
  }

  /** Records the reports that another control host has forwarded. */
  recordForwardedReports(ages: BackendReportAges): void {
    const nowMs = this.context.clock.nowMs();
    for (const { backendId, ageMs } of ages) this.heard.record(backendId, nowMs - ageMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Logs a command that was not committed; returns its failure. */
  private refused(backendId: string, problem: Failure): Failure {
    const { code, detail } = problem;
    this.context.log.warn('backendReportNotCommitted', { backendId, code, detail });
    return problem;
  }

  private runPeriodicWork(): void {
    const nowMs = this.context.clock.nowMs();
    const isLeader = this.control.isLeader();
    if (isLeader && !this.wasLeader) this.heard.restartObservation(nowMs);
    this.wasLeader = isLeader;
    if (isLeader) this.removeSilentBackends(nowMs);
    else this.forwardReportsToLeader(nowMs);
  }

  private isFarAhead(bornAtMs: number): boolean {
    return bornAtMs > this.context.clock.wallMs() + maxStartAheadMs;
  }

  private removeSilentBackends(nowMs: number): void {
    const { registry } = this.control.machine;
    this.heard.forgetGone(registry);
    for (const { backendId, bornAtMs } of this.heard.silent(registry, nowMs)) {
      const command = { type: 'removeBackend', backendId, bornAtMs, reason: 'silent' } as const;
      this.context.log.warn('backendSilent', { backendId, bornAtMs });
      this.control
        .commit(command, commitTimeoutMs)
        .mapErr((problem) => this.refused(backendId, problem));
    }
  }

  private forwardReportsToLeader(nowMs: number): void {
    const leaderId = this.control.leaderId();
    const ages = this.heard.recentReportAges(forwardMaxAgeMs, nowMs);
    if (leaderId === undefined || ages.length === 0) return;
    this.parts.peers
      .request(leaderId, (client, signal) => client.routing.heard.mutate(ages, { signal }))
      .mapErr(({ code, detail }) => {
        this.context.log.warn('reportsNotForwarded', { leaderId, code, detail });
      });
  }
}
