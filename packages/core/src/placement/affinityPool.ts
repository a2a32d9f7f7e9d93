import type {
  RegionDemand,
  RegionShares,
} from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { DemandCounter } from '../regionPlan/demandCounter.js';
import { EvenRefusals, type RegionVerdict } from '../regionPlan/evenRefusals.js';
import type { SpillAllowance } from '../regionPlan/spillAllowance.js';
import { ActiveObjects } from './activeObjects.js';
import type { AnswerTimeEstimates } from './answerTimeEstimates.js';
import { scoreCandidate, type Candidate } from './candidateScore.js';
import { maySendToColdBackend } from './coldBackendPacing.js';
import { ColdCalls } from './coldCalls.js';
import { LoadPerSlot } from './loadPerSlot.js';
import { meanRoomInMs, turnAway, verdictOn } from './placementDecisions.js';
import type {
  EntryHosts,
  PlaceableCall,
  PlacementChoice,
  PlacementDecision,
  PoolConfig,
} from './placementTypes.js';
import { PlannedRegions } from './plannedRegions.js';
import {
  PreferredBackends,
  type ObjectSpread,
  type PreferredBackend,
} from './preferredBackends.js';
import { ServedShares } from './servedShares.js';
import type { TrackedBackend } from './trackedBackend.js';

/**
 * Places the calls of one service on an entry host, for a load that exceeds the slots for minutes. A
 * call goes to the backend server with the earliest expected answer, which is mostly the one that
 * handled its object last. It waits here, by rank, for a slot of that backend server, and is turned
 * away as soon as its target can no longer be met.
 */

/**
 * Calls a second and object in a zone from which the zone keeps the object warm itself. Below it, one
 * backend server of the region handles the object for all zones: the first run at a further one would
 * be late, and too few calls would follow before the object is evicted or the backend server replaced.
 */
const ownCopyCallsPerS = 1;
/** A call that waits, and the backend server whose slot it is expected to get. */
interface WaitingCall<Call> {
  readonly call: Call;
  readonly backend: TrackedBackend;
  /** Expected refusals of such calls when the wait began; undefined if the call was sent before. */
  readonly expectedRefusal: number | undefined;
}

/** Places the calls of one service. */
export class AffinityPool<Call extends PlaceableCall> {
  private backends: readonly TrackedBackend[] = [];

  private coldCallsPerS = 0;

  private zoneHostIds: readonly string[] = [];

  private regionHostCount = 1;

  private waiting: WaitingCall<Call>[] = [];

  private preferredBackends = new PreferredBackends([]);

  private readonly loadPerSlot = new LoadPerSlot();

  private readonly activeObjects = new ActiveObjects();

  private readonly regions: PlannedRegions<Call>;

  private readonly demand = new DemandCounter();

  private readonly evenRefusals: EvenRefusals;

  private readonly coldCalls = new ColdCalls();

  private readonly servedShares = new ServedShares();

  /**
   * @param place - location of this host, and the shift cap
   * @param times - estimates of answer times
   * @param spills - exceptions from the plan that the host may make, shared by all of its pools
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly place: PoolConfig,
    private readonly times: AnswerTimeEstimates,
    private readonly spills: SpillAllowance,
    nowMs: number,
  ) {
    this.regions = new PlannedRegions(place.region, place.maxShift, nowMs);
    this.evenRefusals = new EvenRefusals(place.maxShift);
  }

  /**
   * Sets the backend servers that may get calls.
   *
   * @param backends - backend servers that are neither draining nor gone nor evacuated
   * @param registered - number of backend servers that each region would have without recent losses
   * @param coldCallsPerS - rate that a backend server can take while it is cold
   * @param hosts - entry hosts near this host
   */
  reconfigure(
    backends: readonly TrackedBackend[],
    registered: ReadonlyMap<string, number>,
    coldCallsPerS: number,
    hosts: EntryHosts,
  ): void {
    this.backends = backends;
    this.coldCallsPerS = coldCallsPerS;
    this.zoneHostIds = hosts.zoneHostIds;
    this.regionHostCount = hosts.regionHostCount;
    this.preferredBackends = new PreferredBackends(backends, this.preferredBackends);
    this.regions.reconfigure(backends, registered);
    this.coldCalls.retain(new Set(backends.map(({ record }) => record.backendId)));
  }

  /**
   * Sets the planned split of the calls of this host's region.
   *
   * @param planned - undefined if there is no plan
   * @param nowMs - monotonic time
   */
  setSplit(planned: RegionShares | undefined, nowMs: number): void {
    this.regions.setSplit(planned, nowMs);
  }

  /** Returns the demand since the last time, for the plan. */
  takeDemand(service: string, nowMs: number): RegionDemand {
    const reporting = this.backends.map((backend) => ({
      region: backend.region,
      slots: backend.record.slots,
      reportedCalls: backend.reportedLoad(nowMs),
    }));
    return this.demand.take(service, this.place.region, reporting, this.activeObjects.count());
  }

  get waitingCalls(): number {
    return this.waiting.length;
  }

  /**
   * Decides on a new call, or on a call that a backend server did not run.
   *
   * @param call - the call
   * @param nowMs - monotonic time
   */
  offer(call: Call, nowMs: number): PlacementDecision<Call> {
    const isNew = call.tried.size === 0;
    if (isNew) this.recordOffered(call, nowMs);
    const evenRefusal = isNew ? this.turnAwayEvenly(call, nowMs) : undefined;
    if (evenRefusal !== undefined) return evenRefusal;
    const decision = this.decide(call, nowMs);
    if (decision.decision === 'wait') {
      const expectedRefusal = isNew ? this.expectedRefusal(call, nowMs) : undefined;
      this.waiting.push({ call, backend: decision.backend, expectedRefusal });
    }
    return decision;
  }

  /** Removes a waiting call that was aborted. */
  cancel(call: Call): void {
    this.waiting = this.waiting.filter((entry) => entry.call !== call);
  }

  /** Decides on the waiting calls, the most urgent first; returns the decisions that end a wait. */
  dispatchWaiting(nowMs: number): PlacementDecision<Call>[] {
    const decisions: PlacementDecision<Call>[] = [];
    if (this.waiting.length === 0) return decisions;
    const entries = this.inQueueOrder(nowMs);
    this.waiting = [];
    for (const entry of entries) {
      const decision = this.decide(entry.call, nowMs);
      if (decision.decision === 'wait') {
        this.waiting.push({ ...entry, backend: decision.backend });
        continue;
      }
      this.recordWaitEnd(entry, decision, nowMs);
      decisions.push(decision);
    }
    return decisions;
  }

  private recordWaitEnd(
    { call, expectedRefusal }: WaitingCall<Call>,
    { decision, plannedRegion }: Exclude<PlacementDecision<Call>, { readonly decision: 'wait' }>,
    nowMs: number,
  ): void {
    if (plannedRegion === undefined || expectedRefusal === undefined) return;
    const wait = { rank: call.rank, region: plannedRegion, expectedRefusal };
    this.evenRefusals.recordWait(wait, decision === 'turnAway', this.regions.sharesAt(nowMs));
  }

  private expectedRefusal(call: Call, nowMs: number): number {
    const [planned] = this.regions.regionsFor(call, nowMs);
    if (planned === undefined || !this.evenRefusals.isActive(nowMs)) return 0;
    return this.evenRefusals.expectedRefusal(call.rank, planned);
  }

  /** Turns a call away that its planned region would accept, where other planned regions refuse such calls. */
  private turnAwayEvenly(call: Call, nowMs: number): PlacementDecision<Call> | undefined {
    if (!this.evenRefusals.isActive(nowMs)) return undefined;
    const [planned] = this.regions.regionsFor(call, nowMs);
    if (planned === undefined || this.isLost(planned, nowMs)) return undefined;
    const candidates = this.candidatesByRegion(call, nowMs);
    const verdicts = new Map<string, RegionVerdict>();
    for (const [region, candidate] of candidates) {
      verdicts.set(region, verdictOn(call, candidate, nowMs));
    }
    const shares = this.regions.sharesAt(nowMs);
    if (!this.evenRefusals.isTurnedAway(call, planned, verdicts, shares)) return undefined;
    const roomInMs = meanRoomInMs(candidates, shares);
    const refusal = turnAway(call, 'otherRegionFull', roomInMs, candidates.get(planned));
    return { ...refusal, plannedRegion: planned };
  }

  /** The best candidate of the planned region, and of each other region that refuses calls evenly with it. */
  private candidatesByRegion(
    call: Call,
    nowMs: number,
  ): ReadonlyMap<string, Candidate | undefined> {
    const shares = this.regions.sharesAt(nowMs);
    const [planned, ...others] = this.regions.regionsFor(call, nowMs);
    const compared = others.filter(
      (region) => this.evenRefusals.isCompared(shares[region] ?? 0) && !this.isLost(region, nowMs),
    );
    const candidates = new Map<string, Candidate | undefined>();
    for (const region of planned === undefined ? [] : [planned, ...compared]) {
      candidates.set(region, this.bestIn(region, call, 'planned', nowMs));
    }
    return candidates;
  }

  /** Decides on a call that comes after the calls in the queue so far. */
  private decide(call: Call, nowMs: number): PlacementDecision<Call> {
    const decision = this.decideByEstimates(call, nowMs);
    if (decision.decision === 'turnAway') this.evenRefusals.recordRefusal(nowMs);
    const [plannedRegion] = this.regions.regionsFor(call, nowMs);
    if (decision.decision === 'wait' || plannedRegion === undefined) return decision;
    return { ...decision, plannedRegion };
  }

  private decideByEstimates(call: Call, nowMs: number): PlacementDecision<Call> {
    if (nowMs >= call.deadlineAtMs) return turnAway(call, 'deadlinePassed', 0);
    const candidate = this.bestCandidate(call, nowMs);
    if (candidate === undefined) {
      return turnAway(call, 'noBackend', this.nextReturnInMs(call, nowMs));
    }
    const verdict = verdictOn(call, candidate, nowMs);
    if (verdict === 'send') return this.send(call, candidate, nowMs);
    if (verdict === 'wait') return { decision: 'wait', call, backend: candidate.backend };
    // The same time whichever region is full, so that the calls that return have the split of the plan.
    const candidates = this.candidatesByRegion(call, nowMs);
    const roomInMs = meanRoomInMs(candidates, this.regions.sharesAt(nowMs));
    return turnAway(call, 'targetMissed', roomInMs, candidate);
  }

  /** Waiting calls in queue order: ranks below their floor first, then by rank. */
  private inQueueOrder(nowMs: number): WaitingCall<Call>[] {
    const order = new Map<number, number>();
    for (const { call } of this.waiting) {
      if (order.has(call.rank)) continue;
      order.set(call.rank, this.servedShares.isBelowFloor(call.rank, nowMs) ? -1 : call.rank);
    }
    const orderOf = ({ call }: WaitingCall<Call>) => order.get(call.rank) ?? call.rank;
    return [...this.waiting].sort((left, right) => orderOf(left) - orderOf(right));
  }

  private send(call: Call, candidate: Candidate, nowMs: number): PlacementDecision<Call> {
    const { backend } = candidate;
    const { backendId } = backend.record;
    if (backend.isCold(nowMs)) this.coldCalls.recordSend(backendId, this.coldCallsPerS, nowMs);
    if (candidate.choice === 'spill') this.spills.recordSpill();
    else if (call.tried.size === 0) this.spills.recordCall(call.requestId, nowMs);
    if (call.tried.size === 0) this.demand.recordRun(backend.region);
    this.servedShares.recordServed(call.rank, nowMs);
    return { decision: 'send', call, place: candidate };
  }

  private recordOffered({ objectKey, rank }: Call, nowMs: number): void {
    this.servedShares.recordOffered(rank, nowMs);
    this.demand.recordOffered();
    if (objectKey !== undefined) this.activeObjects.record(objectKey, nowMs);
    this.loadPerSlot.update(this.backends, nowMs);
  }

  /**
   * The candidate with the lowest cost in the planned region of the call, whether it has room now or not. If
   * that one is late, the next region of the call may take it if it would be faster there: as an exception, or
   * because the planned region is lost.
   */
  private bestCandidate(call: Call, nowMs: number): Candidate | undefined {
    const [planned, ...others] = this.regions.regionsFor(call, nowMs);
    if (planned === undefined) return undefined;
    const own = this.bestIn(planned, call, 'planned', nowMs);
    if (own !== undefined && nowMs + own.costMs <= call.targetAtMs) return own;
    const isLost = this.isLost(planned, nowMs) || (own === undefined && call.tried.size > 0);
    if (!isLost && !this.spills.maySpill(nowMs)) return own;
    // Not the cheapest region: all hosts hear the same loads, and would go there together.
    for (const region of others) {
      const other = this.bestIn(region, call, isLost ? 'failover' : 'spill', nowMs);
      if (other === undefined) continue;
      return own === undefined || other.costMs < own.costMs ? other : own;
    }
    return own;
  }

  /** The cheapest candidate of a region. */
  private bestIn(
    region: string,
    call: Call,
    choice: PlacementChoice,
    nowMs: number,
  ): Candidate | undefined {
    const isEligible = (backend: TrackedBackend) =>
      !call.tried.has(backend.record.backendId) && this.isAvailable(backend, nowMs);
    const spread = this.objectSpread(call, choice === 'planned', nowMs);
    let best: Candidate | undefined;
    for (const preferred of this.preferredBackends.selectIn(
      region,
      call.objectKey,
      spread,
      isEligible,
    )) {
      const candidate = this.score(call, preferred, spread, nowMs);
      if (best === undefined || candidate.costMs < best.costMs) best = { ...candidate, choice };
    }
    return best;
  }

  private isLost(region: string, nowMs: number): boolean {
    return this.regions.isLost(region, (backend) => this.isAvailable(backend, nowMs), nowMs);
  }

  /** Time until the first backend server of the planned region ends its backoff or pause. */
  private nextReturnInMs(call: Call, nowMs: number): number {
    let earliestMs = Number.POSITIVE_INFINITY;
    const [planned] = this.regions.regionsFor(call, nowMs);
    for (const backend of this.backends) {
      if (backend.region !== planned) continue;
      earliestMs = Math.min(earliestMs, Math.max(nowMs, backend.returnsAtMs()));
    }
    return Number.isFinite(earliestMs) ? earliestMs - nowMs : 0;
  }

  private isAvailable(backend: TrackedBackend, nowMs: number): boolean {
    if (backend.isBackingOff(nowMs) || backend.isPaused(nowMs)) return false;
    if (backend.isCold(nowMs)) {
      const { backendId } = backend.record;
      if (!maySendToColdBackend(this.place.hostId, this.zoneHostIds, backendId)) return false;
      if (backend.distance !== 'zone' || !this.coldCalls.maySend(backendId, nowMs)) return false;
    }
    return true;
  }

  private score(
    call: Call,
    preferred: PreferredBackend,
    spread: ObjectSpread,
    nowMs: number,
  ): Candidate {
    const { backend } = preferred;
    return scoreCandidate(call, preferred, {
      times: this.times,
      waiting: this.waitingAhead(backend, call.rank),
      hostsSharing: this.hostsSharing(spread, backend),
      assumedLoadPerSlot: this.loadPerSlot.at(backend.distance),
      homeShare: spread.regionShare,
      nowMs,
    });
  }

  /** Number of entry hosts whose calls compete for the slots of a backend server. */
  private hostsSharing(spread: ObjectSpread, { distance }: TrackedBackend): number {
    if (distance === 'far') return 1;
    const isSharedByRegion = this.preferredBackends.isGroupedByRegion(spread);
    return Math.max(1, isSharedByRegion ? this.regionHostCount : this.zoneHostIds.length);
  }

  private objectSpread(
    { routeId, targetMs }: Call,
    isPlannedHere: boolean,
    nowMs: number,
  ): ObjectSpread {
    const zoneCallsPerS =
      this.activeObjects.callsPerObjectAndS() * Math.max(1, this.zoneHostIds.length);
    const isFirstRunLate = this.times.expectedMs(routeId, targetMs, false) > targetMs;
    return {
      activeObjects: this.activeObjects.count(),
      regionShare: this.regions.sharesAt(nowMs)[this.place.region] ?? 0,
      isSharedByRegion: isFirstRunLate && zoneCallsPerS < ownCopyCallsPerS,
      isPlannedHere,
    };
  }

  /** Number of calls that wait for a backend server and are served before a new call of this rank. */
  private waitingAhead(backend: TrackedBackend, rank: number): number {
    let ahead = 0;
    for (const entry of this.waiting) {
      if (entry.backend === backend && entry.call.rank <= rank) ahead += 1;
    }
    return ahead;
  }
}
