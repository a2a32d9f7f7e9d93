import type { ControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';
import { objectCapacityOf } from '@buckthornlug/core/placement/preferredBackends.js';
import { mergeDemand } from '@buckthornlug/core/regionPlan/mergeDemand.js';
import { RegionPlanner, type PlanInputs } from '@buckthornlug/core/regionPlan/regionPlanner.js';
import { movedShare } from '@buckthornlug/core/regionPlan/regionShares.js';
import type {
  DemandReply,
  DemandReport,
  RegionDemand,
  RegionPlan,
} from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { SetTimer } from '../runtime/timers.js';
import type { ControlGroup } from '../submissions/controlGroup.js';

/** Makes the region plan on the leader of the control group; on other control hosts, spreads it. */

/** Interval of the steps of the plan, and of forwarding demand to the leader. */
const taskIntervalMs = 1000;
/** Time limit of the read that shows that a new leader has applied what was committed before it. */
const readTimeoutMs = 2500;
/** Time for which a new leader without a plan waits for hosts to report one. */
const planWaitMs = 4000;
/** The same while hosts have reported that they hold one. */
const maxPlanWaitMs = 10_000;
const fullSharePermille = 1000;

/** Shares in permille as log fields. */
function describeShares(shares: Readonly<Record<string, number>>): Record<string, number> {
  const fields: Record<string, number> = {};
  for (const [region, share] of Object.entries(shares)) {
    fields[`${region}Permille`] = Math.round(share * fullSharePermille);
  }
  return fields;
}

/** Dependencies of `RegionPlanTask`. */
export interface RegionPlanTaskParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'log' | 'metrics'>;
  readonly parts: { readonly peers: Pick<HostParts['peers'], 'request'> };
  readonly control: Pick<ControlGroup, 'isLeader' | 'leaderId' | 'readBarrier'> & {
    readonly machine: Pick<ControlMachine, 'routing' | 'registry'>;
  };
  readonly setTimer: SetTimer;
}

/** A backend server that is ready and not evacuated. */
interface UsableBackend {
  readonly service: string;
  readonly region: string;
  readonly slots: number;
  readonly isCold: boolean;
}

/** Planning of a host since it began to lead the control group. */
interface Leadership {
  readonly planner: RegionPlanner;
  readonly begunAtMs: number;
  /** Whether this host has applied all that was committed before it began to lead. */
  hasCaughtUp: boolean;
  /** Whether it has gone on from a plan of before. */
  hasAdopted: boolean;
}

/** Collects the demand that entry hosts report, and answers with the plan. */
export class RegionPlanTask {
  private cancelTimer: (() => void) | undefined;

  private readonly maxShift: number;

  private demand: RegionDemand[] = [];

  private held: RegionPlan | undefined;

  /** Highest issue of a plan that another host has reported to hold. */
  private heardIssue = 0;

  /** Whether the leader has asked for the plan held. */
  private isPlanWanted = false;

  /** Set while this host leads the control group. */
  private leadership: Leadership | undefined;

  constructor(private readonly dependencies: RegionPlanTaskParts) {
    const { routing } = dependencies.context.settings;
    this.maxShift = (routing?.maxShiftPermille ?? fullSharePermille) / fullSharePermille;
    this.schedule();
  }

  /** Takes a report of an entry host, or of a control host that forwards those of others. */
  receive({ heldIssue, isForwarded, demand, plan }: DemandReport): DemandReply {
    this.heardIssue = Math.max(this.heardIssue, heldIssue);
    if (plan !== undefined) this.hold(plan);
    // What is forwarded to a former leader ends here: sent on, it could go round in circles.
    if (!isForwarded || this.dependencies.control.isLeader()) {
      this.demand = mergeDemand([...this.demand, ...demand]);
    }
    const { held } = this;
    const isPlanWanted = held === undefined && heldIssue > 0;
    const isNewer = held !== undefined && held.issue > heldIssue;
    return { ...(isNewer ? { plan: held } : {}), isPlanWanted };
  }

  describe() {
    return { regionPlanIssue: this.held?.issue ?? 0, regionSplits: this.held?.splits ?? [] };
  }

  stop(): void {
    this.cancelTimer?.();
  }

  private schedule(): void {
    this.cancelTimer = this.dependencies.setTimer(() => {
      this.schedule();
      this.runPeriodicWork();
    }, taskIntervalMs);
  }

  private hold(plan: RegionPlan): void {
    if (plan.issue > (this.held?.issue ?? 0)) this.held = plan;
  }

  private runPeriodicWork(): void {
    const { demand } = this;
    this.demand = [];
    if (this.dependencies.control.isLeader()) {
      this.plan(demand);
      return;
    }
    this.leadership = undefined;
    this.forward(demand);
  }

  private plan(demand: readonly RegionDemand[]): void {
    const nowMs = this.dependencies.context.clock.nowMs();
    this.leadership ??= this.beginLeadership(nowMs);
    const { planner, begunAtMs, hasCaughtUp } = this.leadership;
    planner.record(demand);
    // A plan of its own would move calls to and fro while the one in force is not known.
    const waitMs = this.heardIssue > 0 ? maxPlanWaitMs : planWaitMs;
    const isAwaited = this.held === undefined && nowMs - begunAtMs < waitMs;
    const inputs = this.inputs();
    if (!hasCaughtUp || isAwaited || inputs.services.length === 0) return;
    if (!this.leadership.hasAdopted && this.held !== undefined) planner.adopt(this.held);
    this.leadership.hasAdopted = true;
    const splits = planner.step(inputs, nowMs);
    const changed = splits.filter((split) => !this.isHeld(split));
    const isSuperseded = this.heardIssue > (this.held?.issue ?? 0);
    if (changed.length > 0 || isSuperseded || splits.length !== this.held?.splits.length) {
      this.issue(splits, changed);
    }
  }

  private beginLeadership(nowMs: number): Leadership {
    const { control, context } = this.dependencies;
    const planner = new RegionPlanner(this.maxShift);
    const begun = { planner, begunAtMs: nowMs, hasCaughtUp: false, hasAdopted: false };
    context.log.info('regionPlanningBegun', { heldIssue: this.held?.issue ?? 0 });
    control.readBarrier(readTimeoutMs).match(
      () => {
        begun.hasCaughtUp = true;
      },
      ({ code, detail }) => {
        context.log.warn('regionPlanningDelayed', { code, detail });
        if (this.leadership === begun) this.leadership = undefined;
      },
    );
    return begun;
  }

  private issue(splits: RegionPlan['splits'], changed: RegionPlan['splits']): void {
    const { clock, log, metrics } = this.dependencies.context;
    // The plan of a former leader whose clock was ahead must not stay in force.
    const issue = Math.max(clock.wallMs(), (this.held?.issue ?? 0) + 1, this.heardIssue + 1);
    this.held = { issue, splits };
    for (const { service, callerRegion, shares } of changed) {
      log.info('regionSplitPlanned', { issue, service, callerRegion, ...describeShares(shares) });
      for (const [region, share] of Object.entries(shares)) {
        metrics.gauge('region_plan_share', share, { service, callerRegion, region });
      }
    }
  }

  private isHeld({ service, callerRegion, shares }: RegionPlan['splits'][number]): boolean {
    const held = this.held?.splits.find(
      (split) => split.service === service && split.callerRegion === callerRegion,
    );
    return held !== undefined && movedShare(held.shares, shares) === 0;
  }

  private forward(demand: RegionDemand[]): void {
    const { control, parts, context } = this.dependencies;
    const leaderId = control.leaderId();
    if (leaderId === undefined) return;
    const { held } = this;
    const report = {
      heldIssue: Math.max(held?.issue ?? 0, this.heardIssue),
      isForwarded: true,
      demand,
      ...(this.isPlanWanted && held !== undefined ? { plan: held } : {}),
    };
    parts.peers
      .request(leaderId, (client, signal) => client.routing.demand.mutate(report, { signal }))
      .match(
        ({ plan, isPlanWanted }) => {
          this.isPlanWanted = isPlanWanted;
          if (plan !== undefined) this.hold(plan);
        },
        ({ code, detail }) => context.log.warn('demandNotForwarded', { leaderId, code, detail }),
      );
  }

  private inputs(): PlanInputs {
    const { control, context } = this.dependencies;
    const { registry, routing } = control.machine;
    const { regionOfZone = {} } = context.settings.routing ?? {};
    const usable: UsableBackend[] = [];
    const evacuated = new Set(
      routing
        .evacuationRecords()
        .filter(({ isEvacuated }) => isEvacuated)
        .map(({ availabilityZone }) => availabilityZone),
    );
    const wallMs = context.clock.wallMs();
    for (const { service, availabilityZone, state, slots, coldUntilMs } of registry.records()) {
      const region = regionOfZone[availabilityZone];
      if (region === undefined || state !== 'ready' || evacuated.has(availabilityZone)) continue;
      usable.push({ service, region, slots, isCold: coldUntilMs > wallMs });
    }
    return {
      services: (routing.current()?.services ?? []).map(({ service }) => service),
      slotsFor: (service, callerRegion) => {
        const slotsByRegion = new Map<string, number>();
        for (const { region, slots, isCold, service: own } of usable) {
          // Cold backend servers get calls of their own zone only.
          if (own !== service || (isCold && region !== callerRegion)) continue;
          slotsByRegion.set(region, (slotsByRegion.get(region) ?? 0) + slots);
        }
        return slotsByRegion;
      },
      objectCapacity: (service, region) =>
        objectCapacityOf(
          usable.filter((one) => one.service === service && one.region === region).length,
        ),
      callerRegions: [...new Set(Object.values(regionOfZone))],
    };
  }
}
