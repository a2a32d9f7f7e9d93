import { sameNames } from '@buckthornlug/core/lists/sameNames.js';
import { AnswerTimeEstimates } from '@buckthornlug/core/placement/answerTimeEstimates.js';
import { QueueScanPacer } from '@buckthornlug/core/placement/queueScanPacer.js';
import { LeavingBackends } from '@buckthornlug/core/placement/leavingBackends.js';
import { AffinityPool } from '@buckthornlug/core/placement/affinityPool.js';
import { SpillAllowance } from '@buckthornlug/core/regionPlan/spillAllowance.js';
import { TrackedBackend, type Distance } from '@buckthornlug/core/placement/trackedBackend.js';
import type { EntryHosts, PlacementDecision } from '@buckthornlug/core/placement/placementTypes.js';
import type { RegionDemand, RegionPlan } from '@buckthornlug/protocol/routing/regionPlanSchema.js';
import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';

import type { RoutingState } from '../routing/routingState.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { acceptsNewWork } from '../runtime/acceptsNewWork.js';
import type { RoutedCall } from './routedCallsTypes.js';

/** The pools of an entry host: one for each service of the routing document. */

/** Shortest interval between scans of the waiting calls if no slot becomes free. */
const dispatchIntervalMs = 10;
/** One-way delays that are assumed until connection times have been measured. */
const initialLinkMs: Readonly<Record<Distance, number>> = { zone: 0.5, region: 4, far: 50 };
/** Weight of the newest connection time in the moving average of a one-way delay. */
const newestLinkSampleWeight = 0.2;
/**
 * Time for which a backend server that fell silent counts as one that its region lacks. After it the plan of
 * the regions has taken the loss in.
 */
const countsAsLostMs = 10_000;
const fullSharePermille = 1000;

/** A chosen backend server, one of whose slots is taken for the call. */
export type AcquiredSlot = Extract<PlacementDecision<RoutedCall>, { readonly decision: 'send' }> & {
  /** Time at which the slot was taken; passed to the backend server when the slot is released. */
  readonly acquiredAtMs: number;
};

/** A decision that ends the wait of a call. */
export type FinalDecision =
  AcquiredSlot | Extract<PlacementDecision<RoutedCall>, { readonly decision: 'turnAway' }>;

/** Takes a slot of the chosen backend server if the call is sent. */
function acquireSlot(
  decision: Exclude<PlacementDecision<RoutedCall>, { readonly decision: 'wait' }>,
  nowMs: number,
): FinalDecision {
  if (decision.decision === 'turnAway') return decision;
  decision.place.backend.start(nowMs);
  return { ...decision, acquiredAtMs: nowMs };
}

function silentSince(
  { state }: RegisteredBackend,
  knownMs: number | undefined,
  nowMs: number,
): number | undefined {
  return state === 'silent' ? (knownMs ?? nowMs) : undefined;
}

function countByRegion(backends: readonly TrackedBackend[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { region } of backends) counts.set(region, (counts.get(region) ?? 0) + 1);
  return counts;
}

/** Places calls on the registered backend servers. */
export class RoutedPools {
  readonly answerTimes = new AnswerTimeEstimates();

  private readonly pools = new Map<string, AffinityPool<RoutedCall>>();

  private readonly backends = new Map<string, TrackedBackend>();

  private readonly linkMs: Record<Distance, number> = { ...initialLinkMs };

  /** Resolves the promise of `place` for each waiting call. */
  private readonly resolvers = new Map<RoutedCall, (decision: FinalDecision) => void>();

  private dispatchTimer: NodeJS.Timeout | undefined;

  private isDispatchQueued = false;

  private readonly scanPacer = new QueueScanPacer();

  private readonly leaving = new LeavingBackends();

  /** Exceptions from the plan, for all services together, as the shift cap counts them. */
  private readonly spills: SpillAllowance;

  private plan: RegionPlan | undefined;

  /** Time at which the first of the lost backend servers does not count as lost any more. */
  private lossesEndAtMs = Number.POSITIVE_INFINITY;

  private acceptingHosts: number;

  /** Entry hosts at the last refresh. */
  private lastEntryHosts: EntryHosts = { zoneHostIds: [], regionHostCount: 0 };

  constructor(
    private readonly context: HostContext,
    private readonly parts: Pick<HostParts, 'membership'>,
    private readonly state: RoutingState,
  ) {
    this.spills = new SpillAllowance(this.maxShift());
    this.acceptingHosts = this.countAcceptingHosts();
  }

  /**
   * Refreshes the pools after a change of the membership if the entry hosts nearby changed. Most
   * changes concern only the versions that hosts hold, or other regions, and are not worth a scan
   * of all backend servers.
   */
  refreshIfHostsChanged(): void {
    this.acceptingHosts = this.countAcceptingHosts();
    const { zoneHostIds, regionHostCount } = this.entryHosts();
    const isSame =
      regionHostCount === this.lastEntryHosts.regionHostCount &&
      sameNames(zoneHostIds, this.lastEntryHosts.zoneHostIds);
    if (!isSame) this.refresh();
  }

  /** Updates the pools from the routing state and the membership, and dispatches waiting calls. */
  refresh(): void {
    const { table } = this.state;
    if (table === undefined) return;
    const nowMs = this.context.clock.nowMs();
    this.refreshBackends(nowMs);
    this.lossesEndAtMs = Number.POSITIVE_INFINITY;
    const hosts = this.entryHosts();
    this.lastEntryHosts = hosts;
    for (const { service, coldCallsPerS } of table.services.values()) {
      const registered = [...this.backends.values()].filter(
        ({ record }) => record.service === service,
      );
      const usable = registered.filter(
        ({ record }) => this.state.isUsable(record) && !this.leaving.isLeaving(record),
      );
      const expected = registered.filter((backend) => this.isExpected(backend, nowMs));
      const pool = this.getOrCreatePool(service, nowMs);
      pool.reconfigure(usable, countByRegion(expected), coldCallsPerS, hosts);
      pool.setSplit(this.plannedSplit(service), nowMs);
    }
    for (const service of this.pools.keys()) {
      if (!table.services.has(service)) this.pools.delete(service);
    }
    this.dispatchWaiting();
  }

  /** Follows a plan of the regions from now on. */
  setPlan(plan: RegionPlan): void {
    this.plan = plan;
    const nowMs = this.context.clock.nowMs();
    for (const [service, pool] of this.pools) pool.setSplit(this.plannedSplit(service), nowMs);
  }

  /** Returns the demand of all services since the last time. */
  takeDemand(): RegionDemand[] {
    const nowMs = this.context.clock.nowMs();
    if (nowMs >= this.lossesEndAtMs) this.refresh();
    // Backend servers may have become cold or warm since.
    for (const [service, pool] of this.pools) pool.setSplit(this.plannedSplit(service), nowMs);
    return [...this.pools].map(([service, pool]) => pool.takeDemand(service, nowMs));
  }

  /** Whether a backend server is still in use, according to the newest state. */
  isUsable({ record }: TrackedBackend): boolean {
    const current = this.state.backends.get(record.backendId);
    if (current === undefined || current.bornAtMs !== record.bornAtMs) return false;
    return this.state.isUsable(current) && !this.leaving.isLeaving(current);
  }

  /**
   * Takes a backend server out of use that announced its departure, for all calls of this host.
   *
   * @returns whether it is its first announcement
   */
  markLeaving({ record }: TrackedBackend): boolean {
    const isFirst = this.leaving.record(record);
    if (isFirst) this.refresh();
    return isFirst;
  }

  /** Number of entry hosts that take calls, at least 1. */
  entryHostCount(): number {
    return this.acceptingHosts;
  }

  /** Finds a backend server for a call; resolves once the call may be sent or is turned away. */
  place(call: RoutedCall): Promise<FinalDecision> {
    const nowMs = this.context.clock.nowMs();
    const pool = this.getOrCreatePool(call.service, nowMs);
    const decision = pool.offer(call, nowMs);
    if (decision.decision !== 'wait') return Promise.resolve(acquireSlot(decision, nowMs));
    return new Promise((resolve) => {
      const onAbort = () => {
        pool.cancel(call);
        this.finish({ decision: 'turnAway', call, reason: 'deadlinePassed', retryAfterMs: 0 });
      };
      call.signal.addEventListener('abort', onAbort);
      this.resolvers.set(call, (final) => {
        call.signal.removeEventListener('abort', onAbort);
        resolve(final);
      });
      this.scheduleDispatch();
    });
  }

  /** Releases a slot and requests a scan of the waiting calls. */
  release({ place, acquiredAtMs }: AcquiredSlot): void {
    place.backend.end(acquiredAtMs);
    if (this.resolvers.size > 0) this.dispatchWaitingSoon();
  }

  /** Updates the one-way delay for a distance from the time that opening a connection took. */
  recordConnect({ distance }: TrackedBackend, connectMs: number): void {
    const oneWayMs = connectMs / 2;
    this.linkMs[distance] += newestLinkSampleWeight * (oneWayMs - this.linkMs[distance]);
    for (const backend of this.backends.values()) backend.linkMs = this.linkMs[backend.distance];
  }

  /** Revision of the registry that placements rest on, and the age of its last confirmation, as log fields. */
  describeState(): { readonly heldRevision: number; readonly unconfirmedMs: number } {
    const { registryRevision } = this.state.position();
    return {
      heldRevision: registryRevision,
      unconfirmedMs: Math.round(this.state.unconfirmedMs()),
    };
  }

  /** Number of calls that wait for a slot. */
  waitingCalls(): number {
    return this.resolvers.size;
  }

  stop(): void {
    clearTimeout(this.dispatchTimer);
  }

  private refreshBackends(nowMs: number): void {
    for (const record of this.state.backends.values()) {
      const tracked = this.backends.get(record.backendId);
      const coldUntilMs = this.state.coldUntilMs(record);
      if (tracked !== undefined && tracked.record.bornAtMs === record.bornAtMs) {
        if (coldUntilMs > nowMs && !tracked.isCold(nowMs)) tracked.warmObjects.clear();
        tracked.record = record;
        tracked.silentSinceMs = silentSince(record, tracked.silentSinceMs, nowMs);
        tracked.coldUntilMs = coldUntilMs;
        continue;
      }
      this.backends.set(record.backendId, this.createBackend(record, coldUntilMs));
    }
    for (const backendId of this.backends.keys()) {
      if (!this.state.backends.has(backendId)) this.backends.delete(backendId);
    }
  }

  private createBackend(record: RegisteredBackend, coldUntilMs: number): TrackedBackend {
    const { settings } = this.context;
    const region = settings.routing?.regionOfZone[record.availabilityZone] ?? '';
    let distance: Distance = region === settings.region ? 'region' : 'far';
    if (record.availabilityZone === settings.availabilityZone) distance = 'zone';
    return new TrackedBackend(record, region, distance, this.linkMs[distance], coldUntilMs);
  }

  private countAcceptingHosts(): number {
    return Math.max(1, this.parts.membership.hosts().filter(acceptsNewWork).length);
  }

  private entryHosts(): EntryHosts {
    const { availabilityZone, region } = this.context.settings;
    const accepting = this.parts.membership.hosts().filter(acceptsNewWork);
    const inZone = accepting.filter((host) => host.availabilityZone === availabilityZone);
    const inRegion = accepting.filter((host) => host.region === region);
    return { zoneHostIds: inZone.map(({ hostId }) => hostId), regionHostCount: inRegion.length };
  }

  /** Whether a backend server is in use, or would be if it had not been lost lately. */
  private isExpected({ record, silentSinceMs }: TrackedBackend, nowMs: number): boolean {
    if (this.state.isEvacuated(record.availabilityZone)) return false;
    if (silentSinceMs === undefined) {
      return record.state === 'ready' && !this.leaving.isLeaving(record);
    }
    const endsAtMs = silentSinceMs + countsAsLostMs;
    if (endsAtMs <= nowMs) return false;
    this.lossesEndAtMs = Math.min(this.lossesEndAtMs, endsAtMs);
    return true;
  }

  private plannedSplit(service: string) {
    const { region } = this.context.settings;
    return this.plan?.splits.find(
      (split) => split.service === service && split.callerRegion === region,
    )?.shares;
  }

  private maxShift(): number {
    const { routing } = this.context.settings;
    return (routing?.maxShiftPermille ?? fullSharePermille) / fullSharePermille;
  }

  private getOrCreatePool(service: string, nowMs: number): AffinityPool<RoutedCall> {
    const existing = this.pools.get(service);
    if (existing !== undefined) return existing;
    const { hostId, availabilityZone, region } = this.context.settings;
    const config = { hostId, availabilityZone, region, maxShift: this.maxShift() };
    const created = new AffinityPool<RoutedCall>(config, this.answerTimes, this.spills, nowMs);
    this.pools.set(service, created);
    return created;
  }

  /** Ends the wait of a call. */
  private finish(decision: FinalDecision): void {
    const resolve = this.resolvers.get(decision.call);
    this.resolvers.delete(decision.call);
    resolve?.(decision);
  }

  private dispatchWaiting(): void {
    const nowMs = this.context.clock.nowMs();
    for (const pool of this.pools.values()) {
      for (const decision of pool.dispatchWaiting(nowMs)) {
        if (decision.decision !== 'wait') this.finish(acquireSlot(decision, nowMs));
      }
    }
    this.scanPacer.recordScan(nowMs, this.context.clock.nowMs());
    this.scheduleDispatch();
  }

  /** Scans the waiting calls after a slot became free, once the pacer allows it. */
  private dispatchWaitingSoon(): void {
    if (this.scanPacer.delayMs(this.context.clock.nowMs()) > 0) {
      this.scheduleDispatch();
      return;
    }
    if (this.isDispatchQueued) return;
    this.isDispatchQueued = true;
    setImmediate(() => {
      this.isDispatchQueued = false;
      this.dispatchWaiting();
    });
  }

  private scheduleDispatch(): void {
    if (this.dispatchTimer !== undefined || this.resolvers.size === 0) return;
    const pacerDelayMs = this.scanPacer.delayMs(this.context.clock.nowMs());
    this.dispatchTimer = setTimeout(
      () => {
        this.dispatchTimer = undefined;
        this.dispatchWaiting();
      },
      Math.max(dispatchIntervalMs, pacerDelayMs),
    );
  }
}
