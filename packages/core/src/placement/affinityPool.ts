import type { AnswerTimes } from './answerTimeEstimates.js';
import { ColdPace, isColdSender } from './coldBackendPacing.js';
import { HomeShare } from './regionObjectShare.js';
import { ObjectHomes, type HomePlan, type ObjectHome } from './preferredBackends.js';
import type { Distance, PlacedBackend } from './trackedBackend.js';
import type {
  ObjectCall,
  PlacementDecision,
  PoolPlace,
  TurnAwayReason,
  WeighedPlace,
} from './placementTypes.js';
import { RankShares } from './servedShares.js';
import { RegionSpill } from './regionSpillover.js';
import { SeenObjects } from './activeObjects.js';

/**
 * Places the calls of one service on an entry host, for a load that exceeds the slots for minutes: a
 * call goes where its answer is expected first, which is mostly where its object was handled last. It
 * waits here, by rank, for a slot of that backend server, and is turned away at once when its target
 * cannot be met any more.
 */

/**
 * Calls that a backend server may hold beyond its slots. It starts one of them as soon as a slot is
 * free, while a host learns of a slot that another host's call has freed only with its next answer.
 */
const queuedAtBackend = 2;
/** The same for the most urgent rank on top. */
const extraForMostUrgent = 1;
/** Cost of a place outside the zone besides its delay, so that small differences move nothing. */
const leaveZoneMs = 8;
const leaveRegionMs = 25;
/** Weight of the failures of a backend server: a call that fails costs a whole further attempt. */
const failureWeight = 4;
/** Multiple of the expected time from which a call in flight counts as stuck. */
const stuckFactor = 4;
/** Shortest time after which a caller is asked to return. */
const minRetryAfterMs = 100;
/** Load of each slot that is assumed of a place until its backend servers have reported. */
const firstUsualLoad: Readonly<Record<Distance, number>> = { zone: 0, region: 0.5, far: 0.5 };
/**
 * Factor on that load for each second in which none of them has reported. A place that gets no calls
 * empties; its load must not go on to turn away the calls that would show it.
 */
const unreportedFactor = 0.5;
/** Share of the backend servers of the region below which moves to others are not limited. */
const lostRegionShare = 0.5;

/** Entry hosts that take calls in the own place. */
export interface EntryHosts {
  readonly zoneHostIds: readonly string[];
  /** Number of those in the region. */
  readonly regionHosts: number;
}

/** A place that a call could be sent to. */
interface Candidate extends WeighedPlace {
  readonly hasRoom: boolean;
}

/** A call that waits, and the backend server whose slot it is expected to get. */
interface Waiting<Call> {
  readonly call: Call;
  readonly backend: PlacedBackend;
}

function isAtHome({ homeRegions }: ObjectCall, { region }: PlacedBackend): boolean {
  return homeRegions.length === 0 || homeRegions.includes(region);
}

function leaveCostMs({ distance }: PlacedBackend): number {
  if (distance === 'zone') return 0;
  return distance === 'region' ? leaveZoneMs : leaveRegionMs;
}

function turnAway<Call extends ObjectCall>(
  call: Call,
  reason: TurnAwayReason,
  best?: WeighedPlace,
): PlacementDecision<Call> {
  // Room is expected once the calls ahead are done and what makes the place dear has passed.
  const roomInMs = best === undefined ? 0 : best.costMs - best.expectedMs;
  const retryAfterMs = Math.max(minRetryAfterMs, roomInMs);
  return { decision: 'turnAway', call, reason, retryAfterMs, ...(best && { best }) };
}

/** Places the calls of one service. */
export class ObjectPool<Call extends ObjectCall> {
  private backends: readonly PlacedBackend[] = [];

  /** Whether the region has lost so many backend servers that moves to others are not limited. */
  private hasLostRegion = true;

  private coldCallsPerS = 0;

  private zoneHostIds: readonly string[] = [];

  private regionHosts = 1;

  private regions = 1;

  private waiting: Waiting<Call>[] = [];

  private homes = new ObjectHomes([]);

  private usualLoad = firstUsualLoad;

  private readonly seen = new SeenObjects();

  private readonly homeShare: HomeShare;

  private readonly coldPaces = new Map<string, ColdPace>();

  private readonly spill: RegionSpill;

  private readonly shares = new RankShares();

  /**
   * @param place - place of this host
   * @param times - expected times of answers
   * @param nowMs - monotonic time
   */
  constructor(
    private readonly place: PoolPlace,
    private readonly times: AnswerTimes,
    nowMs: number,
  ) {
    this.spill = new RegionSpill(place.maxShift, nowMs);
    this.homeShare = new HomeShare(place.maxShift);
  }

  /**
   * Sets the backend servers that may get calls.
   *
   * @param backends - those that are neither draining nor gone nor evacuated
   * @param registeredInRegion - backend servers of the own region, evacuated ones included
   * @param coldCallsPerS - rate that one of them bears while it is cold
   * @param hosts - entry hosts of the own place
   */
  reconfigure(
    backends: readonly PlacedBackend[],
    registeredInRegion: number,
    coldCallsPerS: number,
    hosts: EntryHosts,
  ): void {
    this.backends = backends;
    this.coldCallsPerS = coldCallsPerS;
    this.zoneHostIds = hosts.zoneHostIds;
    this.regionHosts = hosts.regionHosts;
    this.homes = new ObjectHomes(backends, this.homes);
    const inRegion = backends.filter(({ distance }) => distance !== 'far').length;
    this.hasLostRegion = inRegion === 0 || inRegion < registeredInRegion * lostRegionShare;
    this.regions = new Set(backends.map(({ region }) => region)).size;
    const known = new Set(backends.map(({ record }) => record.backendId));
    for (const backendId of this.coldPaces.keys()) {
      if (!known.has(backendId)) this.coldPaces.delete(backendId);
    }
  }

  get waitingCalls(): number {
    return this.waiting.length;
  }

  /**
   * Decides on a call that came from a caller, or that a backend server turned down.
   *
   * @param call - the call
   * @param nowMs - monotonic time
   */
  offer(call: Call, nowMs: number): PlacementDecision<Call> {
    if (call.tried.size === 0) this.shares.noteOffered(call.rank, nowMs);
    this.noteCall(call, nowMs);
    const decision = this.decide(call, nowMs);
    if (decision.decision === 'wait') this.waiting.push(decision);
    return decision;
  }

  /** Takes a call out whose caller has gone. */
  cancel(call: Call): void {
    this.waiting = this.waiting.filter((entry) => entry.call !== call);
  }

  /** Decides on the calls that wait, the most urgent first; gives those that wait no longer. */
  pump(nowMs: number): PlacementDecision<Call>[] {
    const decisions: PlacementDecision<Call>[] = [];
    if (this.waiting.length === 0) return decisions;
    const entries = this.inOrder(nowMs);
    this.waiting = [];
    for (const { call } of entries) {
      const decision = this.decide(call, nowMs);
      if (decision.decision === 'wait') this.waiting.push(decision);
      else decisions.push(decision);
    }
    return decisions;
  }

  /** Decides on a call behind those that wait so far. */
  private decide(call: Call, nowMs: number): PlacementDecision<Call> {
    if (nowMs >= call.deadlineAtMs) return turnAway(call, 'deadlinePassed');
    const candidate = this.best(call, nowMs);
    if (candidate === undefined) return turnAway(call, 'noBackend');
    if (candidate.hasRoom) return this.send(call, candidate, nowMs);
    const lateByMs = nowMs + candidate.costMs - call.targetAtMs;
    if (lateByMs > 0) return turnAway(call, 'targetMissed', candidate);
    return { decision: 'wait', call, backend: candidate.backend };
  }

  /** Waiting calls, those of a rank that gets less than its floor first, then by rank. */
  private inOrder(nowMs: number): Waiting<Call>[] {
    const order = new Map<number, number>();
    for (const { call } of this.waiting) {
      if (order.has(call.rank)) continue;
      order.set(call.rank, this.shares.isBelowFloor(call.rank, nowMs) ? -1 : call.rank);
    }
    const orderOf = ({ call }: Waiting<Call>) => order.get(call.rank) ?? call.rank;
    return [...this.waiting].sort((left, right) => orderOf(left) - orderOf(right));
  }

  private send(call: Call, candidate: Candidate, nowMs: number): PlacementDecision<Call> {
    const { backend } = candidate;
    const { backendId } = backend.record;
    if (backend.isCold(nowMs)) this.paceOf(backendId).spend(this.coldCallsPerS, nowMs);
    this.spill.note(backend.distance === 'far', nowMs);
    this.shares.noteServed(call.rank, nowMs);
    if (call.objectKey !== undefined) backend.objects.note(call.objectKey);
    return { decision: 'send', call, place: candidate };
  }

  private noteCall({ objectKey, tried }: Call, nowMs: number): void {
    if (objectKey === undefined || tried.size > 0) return;
    this.seen.note(objectKey, nowMs);
    if (!this.homeShare.isDue(nowMs)) return;
    const { nearSlots, allSlots, nearObjects } = this.homes;
    const { regions } = this;
    const seenObjects = this.seen.count();
    this.updateUsualLoad(nowMs);
    const { region: nearLoad, far: farLoad } = this.usualLoad;
    const slots = { nearSlots, allSlots, regions };
    this.homeShare.update({ ...slots, nearLoad, farLoad, nearObjects, seenObjects }, nowMs);
  }

  private updateUsualLoad(nowMs: number): void {
    const near = this.reportedPerSlot(({ distance }) => distance !== 'far', nowMs);
    const far = this.reportedPerSlot(({ distance }) => distance === 'far', nowMs);
    const { region: formerNear, far: formerFar } = this.usualLoad;
    const nearLoad = near ?? formerNear * unreportedFactor;
    this.usualLoad = { zone: nearLoad, region: nearLoad, far: far ?? formerFar * unreportedFactor };
  }

  /** Calls for each slot of the backend servers that reported lately; undefined where none did. */
  private reportedPerSlot(
    isMeant: (backend: PlacedBackend) => boolean,
    nowMs: number,
  ): number | undefined {
    let load = 0;
    let slots = 0;
    for (const backend of this.backends) {
      const reported = isMeant(backend) ? backend.reportedLoad(nowMs) : undefined;
      if (reported === undefined) continue;
      load += reported;
      slots += backend.record.slots;
    }
    return slots === 0 ? undefined : load / slots;
  }

  /** The place with the earliest answer, whether it has room now or not. */
  private best(call: Call, nowMs: number): Candidate | undefined {
    const mayLeaveRegion = this.hasLostRegion || this.spill.mayMove(nowMs);
    const isOpen = (backend: PlacedBackend) => {
      if (call.tried.has(backend.record.backendId)) return false;
      return isAtHome(call, backend) && this.mayGet(backend, nowMs);
    };
    const plan = this.plan();
    let best: Candidate | undefined;
    for (const home of this.homes.of(call.objectKey, plan, isOpen)) {
      const isMove = home.backend.distance === 'far' && !home.isFirst;
      if (isMove && !mayLeaveRegion) continue;
      const candidate = this.weigh(call, home, nowMs);
      if (best === undefined || candidate.costMs < best.costMs) best = candidate;
    }
    return best;
  }

  private mayGet(backend: PlacedBackend, nowMs: number): boolean {
    if (backend.isPaused(nowMs)) return false;
    if (backend.isCold(nowMs)) {
      const { backendId } = backend.record;
      if (!isColdSender(this.place.hostId, this.zoneHostIds, backendId)) return false;
      if (backend.distance !== 'zone' || !this.paceOf(backendId).isOpen(nowMs)) return false;
    }
    return true;
  }

  private paceOf(backendId: string): ColdPace {
    const known = this.coldPaces.get(backendId);
    if (known !== undefined) return known;
    const created = new ColdPace();
    this.coldPaces.set(backendId, created);
    return created;
  }

  private weigh(call: Call, home: ObjectHome, nowMs: number): Candidate {
    const { backend } = home;
    const { objectKey } = call;
    const isWarm = objectKey !== undefined && (home.isFirst || backend.objects.has(objectKey));
    const usualMs = this.times.expectedMs(call.routeId, call.targetMs, isWarm);
    const expectedMs = usualMs * backend.slownessNow(nowMs);
    const waiting = this.waitingFor(backend, call.rank);
    const load = backend.load(nowMs, this.usualLoad[backend.distance]) + waiting;
    const { slots } = backend.record;
    const limit = slots + queuedAtBackend + (call.rank === 0 ? extraForMostUrgent : 0);
    const hasRoom = load <= limit;
    // The calls that wait at other hosts for the same slots are not known; they are taken to be as many.
    const waitingElsewhere = waiting * (this.sharersOf(backend) - 1);
    const aheadCalls = Math.max(0, load + waitingElsewhere - slots + 1);
    const waitMs = (aheadCalls * expectedMs) / slots;
    // A call that is in flight for longer than expected shows that the backend server is stuck.
    const stuckMs = Math.max(0, backend.oldestInFlightMs(nowMs) - stuckFactor * expectedMs);
    const failureMs = backend.failureShareNow(nowMs) * failureWeight * call.targetMs;
    const displacedMs = objectKey === undefined || isWarm ? 0 : this.displacedMs(call);
    const placeMs = 2 * backend.linkMs + leaveCostMs(backend) + displacedMs;
    const costMs = placeMs + waitMs + expectedMs + stuckMs + failureMs;
    return { backend, isWarm, expectedMs, load, waitMs, hasRoom, costMs };
  }

  /** Entry hosts whose calls wait for the slots of a backend server. */
  private sharersOf({ distance }: PlacedBackend): number {
    if (distance === 'far') return 1;
    const isSharedByRegion = this.homes.isSpreadByRegion(this.plan());
    return Math.max(1, isSharedByRegion ? this.regionHosts : this.zoneHostIds.length);
  }

  private plan(): HomePlan {
    return { seenObjects: this.seen.count(), nearShare: this.homeShare.value };
  }

  /** Calls that wait for a backend server and go before one of a rank. */
  private waitingFor(backend: PlacedBackend, rank: number): number {
    let ahead = 0;
    for (const entry of this.waiting) {
      if (entry.backend === backend && entry.call.rank <= rank) ahead += 1;
    }
    return ahead;
  }

  /** Cost of an object that a backend server no longer keeps since it took another one. */
  private displacedMs({ routeId, targetMs }: Call): number {
    const coldMs = this.times.expectedMs(routeId, targetMs, false);
    return coldMs - this.times.expectedMs(routeId, targetMs, true);
  }
}
