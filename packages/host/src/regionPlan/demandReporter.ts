import type { DemandReport, RegionPlan } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { controlHostsByDistance } from '../routing/controlSources.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { SetTimer } from '../runtime/timers.js';

/** Reports the demand of an entry host to a control host, and takes over the region plan. */

/** Interval of the reports; shares move by a few percent in that time. */
const reportIntervalMs = 2000;
/** Interval of the reports until the host holds a plan. */
const firstReportIntervalMs = 500;
/** Failures in a row after which the interval is that of a host with a plan. */
const maxQuickFailures = 6;

/** Dependencies of `DemandReporter`. */
export interface DemandReporterParts {
  readonly context: Pick<HostContext, 'settings' | 'log' | 'metrics' | 'random'>;
  readonly parts: {
    readonly membership: Pick<HostParts['membership'], 'hosts'>;
    readonly peers: Pick<HostParts['peers'], 'request'>;
  };
  /** Control host that this host follows, if any. */
  readonly preferredSource: () => string | undefined;
  readonly takeDemand: () => DemandReport['demand'];
  readonly apply: (plan: RegionPlan) => void;
  readonly setTimer: SetTimer;
}

/** Reports at regular times, to another control host after a failure. */
export class DemandReporter {
  private cancelTimer: (() => void) | undefined;

  private held: RegionPlan | undefined;

  /** Whether the control host has asked for the plan held. */
  private isPlanWanted = false;

  /** Reports in a row that were not answered. */
  private failures = 0;

  /** Control host that did not answer the last report. */
  private failedSource: string | undefined;

  constructor(private readonly dependencies: DemandReporterParts) {
    // Hosts that start together report at different times.
    this.schedule(firstReportIntervalMs * dependencies.context.random());
  }

  stop(): void {
    this.cancelTimer?.();
  }

  private schedule(afterMs: number): void {
    this.cancelTimer = this.dependencies.setTimer(() => {
      this.report();
      const isQuick = this.held === undefined && this.failures < maxQuickFailures;
      this.schedule(isQuick ? firstReportIntervalMs : reportIntervalMs);
    }, afterMs);
  }

  private report(): void {
    const { parts, takeDemand, context } = this.dependencies;
    const source = this.chooseSource();
    const demand = takeDemand();
    if (source === undefined) return;
    const { held } = this;
    const report = {
      heldIssue: held?.issue ?? 0,
      isForwarded: false,
      demand,
      ...(this.isPlanWanted && held !== undefined ? { plan: held } : {}),
    };
    parts.peers
      .request(source, (client, signal) => client.routing.demand.mutate(report, { signal }))
      .match(
        ({ plan, isPlanWanted }) => {
          this.failures = 0;
          this.failedSource = undefined;
          this.isPlanWanted = isPlanWanted;
          if (plan !== undefined) this.take(plan, source);
        },
        ({ code, detail }) => {
          this.failures += 1;
          this.failedSource = source;
          context.metrics.count('demand_reports_failed_total');
          // Control hosts of an earlier version fail each time.
          if (this.failures === 1) context.log.warn('demandNotReported', { source, code, detail });
        },
      );
  }

  /** The host that is followed or, after a failure, the next one after the host that failed. */
  private chooseSource(): string | undefined {
    const { context, parts, preferredSource } = this.dependencies;
    const preferred = preferredSource();
    if (this.failedSource === undefined && preferred !== undefined) return preferred;
    const sources = controlHostsByDistance(context.settings, parts.membership.hosts());
    const failedAt = sources.findIndex((source) => source === this.failedSource);
    return sources[(failedAt + 1) % Math.max(1, sources.length)];
  }

  private take(plan: RegionPlan, source: string): void {
    if (plan.issue <= (this.held?.issue ?? 0)) return;
    this.held = plan;
    this.dependencies.context.log.info('regionPlanInForce', { issue: plan.issue, source });
    this.dependencies.apply(plan);
  }
}
