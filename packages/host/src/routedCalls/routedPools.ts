import { sameNames } from '@buckthornlug/core/lists/sameNames.js';
import { AnswerTimeEstimates } from '@buckthornlug/core/placement/answerTimeEstimates.js';
import { QueueScanPacer } from '@buckthornlug/core/placement/queueScanPacer.js';
import { AffinityPool, type EntryHosts } from '@buckthornlug/core/placement/affinityPool.js';
import { TrackedBackend, type Distance } from '@buckthornlug/core/placement/trackedBackend.js';
import type { PlacementDecision } from '@buckthornlug/core/placement/placementTypes.js';
import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';

import type { RoutingState } from '../routing/routingState.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { takesWork } from '../runtime/takesWork.js';
import type { RoutedCall } from './routedCallsTypes.js';

/** The pools of an entry host: one for each service of the routing document. */

/** Shortest interval in which waiting calls are looked at where no slot became free. */
const pumpIntervalMs = 10;
/** One-way delays that are assumed until connections have shown them. */
const assumedLinkMs: Readonly<Record<Distance, number>> = { zone: 0.5, region: 4, far: 50 };
/** Weight of the newest time of a connection in the delay of a link. */
const linkWeight = 0.2;
const permille = 1000;

/** A place whose slot is taken. */
export type TakenPlace = Extract<PlacementDecision<RoutedCall>, { readonly decision: 'send' }> & {
  /** Time at which the slot was taken; to be named when it is given back. */
  readonly takenAtMs: number;
};

/** A decision that ends the wait of a call. */
export type FinalDecision =
  TakenPlace | Extract<PlacementDecision<RoutedCall>, { readonly decision: 'turnAway' }>;

/** Takes the slot of a call that is sent. */
function carryOut(
  decision: Exclude<PlacementDecision<RoutedCall>, { readonly decision: 'wait' }>,
  nowMs: number,
): FinalDecision {
  if (decision.decision === 'turnAway') return decision;
  decision.place.backend.start(nowMs);
  return { ...decision, takenAtMs: nowMs };
}

/** Places calls on the registered backend servers. */
export class RoutedPools {
  readonly times = new AnswerTimeEstimates();

  private readonly pools = new Map<string, AffinityPool<RoutedCall>>();

  private readonly backends = new Map<string, TrackedBackend>();

  private readonly linkMs: Record<Distance, number> = { ...assumedLinkMs };

  private readonly settle = new Map<RoutedCall, (decision: FinalDecision) => void>();

  private pumpTimer: NodeJS.Timeout | undefined;

  private isPumpDue = false;

  private readonly pace = new QueueScanPacer();

  private knownHosts: EntryHosts = { zoneHostIds: [], regionHostCount: 0 };

  /**
   * @param context - context of the host
   * @param parts - membership
   * @param state - routing document and registered backend servers
   */
  constructor(
    private readonly context: HostContext,
    private readonly parts: Pick<HostParts, 'membership'>,
    private readonly state: RoutingState,
  ) {}

  /**
   * Takes over the membership after a change. Most of its changes say which versions hosts hold, or
   * concern other regions; they would cost a look at each backend server.
   */
  membershipChanged(): void {
    const { zoneHostIds, regionHostCount } = this.entryHosts();
    const isSame =
      regionHostCount === this.knownHosts.regionHostCount &&
      sameNames(zoneHostIds, this.knownHosts.zoneHostIds);
    if (!isSame) this.refresh();
  }

  /** Takes over the routing state and the membership after a change. */
  refresh(): void {
    const { table } = this.state;
    if (table === undefined) return;
    const nowMs = this.context.clock.nowMs();
    this.refreshBackends(nowMs);
    const hosts = this.entryHosts();
    this.knownHosts = hosts;
    for (const { service, coldCallsPerS } of table.services.values()) {
      const all = [...this.backends.values()].filter(({ record }) => record.service === service);
      const usable = all.filter(({ record }) => this.state.isUsable(record));
      const inRegion = all.filter(({ distance }) => distance !== 'far').length;
      this.poolOf(service, nowMs).reconfigure(usable, inRegion, coldCallsPerS, hosts);
    }
    for (const service of this.pools.keys()) {
      if (!table.services.has(service)) this.pools.delete(service);
    }
    this.pump();
  }

  /** Entry hosts that take calls. */
  entryHostCount(): number {
    return Math.max(1, this.parts.membership.hosts().filter(takesWork).length);
  }

  /**
   * Finds a backend server for a call; resolves when it may be sent or must be turned away.
   *
   * @param call - the call
   */
  place(call: RoutedCall): Promise<FinalDecision> {
    const nowMs = this.context.clock.nowMs();
    const pool = this.poolOf(call.service, nowMs);
    const decision = pool.offer(call, nowMs);
    if (decision.decision !== 'wait') return Promise.resolve(carryOut(decision, nowMs));
    return new Promise((resolve) => {
      const onAbort = () => {
        pool.cancel(call);
        this.finish({ decision: 'turnAway', call, reason: 'deadlinePassed', retryAfterMs: 0 });
      };
      call.signal.addEventListener('abort', onAbort);
      this.settle.set(call, (final) => {
        call.signal.removeEventListener('abort', onAbort);
        resolve(final);
      });
      this.schedulePump();
    });
  }

  /** Gives a slot back. */
  release({ place, takenAtMs }: TakenPlace): void {
    place.backend.end(takenAtMs);
    if (this.settle.size > 0) this.pumpSoon();
  }

  /** Takes note of the time that a new connection took. */
  noteConnect({ distance }: TrackedBackend, connectMs: number): void {
    const oneWayMs = connectMs / 2;
    this.linkMs[distance] += linkWeight * (oneWayMs - this.linkMs[distance]);
    for (const backend of this.backends.values()) backend.linkMs = this.linkMs[backend.distance];
  }

  waitingCalls(): number {
    return this.settle.size;
  }

  stop(): void {
    clearTimeout(this.pumpTimer);
  }

  private refreshBackends(nowMs: number): void {
    for (const record of this.state.backends.values()) {
      const known = this.backends.get(record.backendId);
      const coldUntilMs = this.state.coldUntilMs(record);
      if (known !== undefined && known.record.bornAtMs === record.bornAtMs) {
        if (coldUntilMs > nowMs && !known.isCold(nowMs)) known.warmObjects.clear();
        known.record = record;
        known.coldUntilMs = coldUntilMs;
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

  private entryHosts(): EntryHosts {
    const { availabilityZone, region } = this.context.settings;
    const taking = this.parts.membership.hosts().filter(takesWork);
    const inZone = taking.filter((host) => host.availabilityZone === availabilityZone);
    const inRegion = taking.filter((host) => host.region === region);
    return { zoneHostIds: inZone.map(({ hostId }) => hostId), regionHostCount: inRegion.length };
  }

  private poolOf(service: string, nowMs: number): AffinityPool<RoutedCall> {
    const known = this.pools.get(service);
    if (known !== undefined) return known;
    const { hostId, availabilityZone, region, routing } = this.context.settings;
    const maxShift = (routing?.maxShiftPermille ?? permille) / permille;
    const place = { hostId, availabilityZone, region, maxShift };
    const created = new AffinityPool<RoutedCall>(place, this.times, nowMs);
    this.pools.set(service, created);
    return created;
  }

  private finish(decision: FinalDecision): void {
    const settle = this.settle.get(decision.call);
    this.settle.delete(decision.call);
    settle?.(decision);
  }

  private pump(): void {
    const nowMs = this.context.clock.nowMs();
    for (const pool of this.pools.values()) {
      for (const decision of pool.dispatchWaiting(nowMs)) {
        if (decision.decision !== 'wait') this.finish(carryOut(decision, nowMs));
      }
    }
    this.pace.recordScan(nowMs, this.context.clock.nowMs());
    this.schedulePump();
  }

  /** Looks at the waiting calls after a slot became free, once the pace allows it. */
  private pumpSoon(): void {
    if (this.pace.delayMs(this.context.clock.nowMs()) > 0) {
      this.schedulePump();
      return;
    }
    if (this.isPumpDue) return;
    this.isPumpDue = true;
    setImmediate(() => {
      this.isPumpDue = false;
      this.pump();
    });
  }

  private schedulePump(): void {
    if (this.pumpTimer !== undefined || this.settle.size === 0) return;
    const pauseMs = this.pace.delayMs(this.context.clock.nowMs());
    this.pumpTimer = setTimeout(
      () => {
        this.pumpTimer = undefined;
        this.pump();
      },
      Math.max(pumpIntervalMs, pauseMs),
    );
  }
}
