import type { AnswerTimeEstimates } from './answerTimeEstimates.js';
import type { PlaceableCall, ScoredBackend } from './placementTypes.js';
import type { PreferredBackend } from './preferredBackends.js';
import type { TrackedBackend } from './trackedBackend.js';

/** Estimates when a backend server would answer a call. */

/**
 * Calls that may queue at a backend server beyond its slots. It starts one of them as soon as a slot
 * is free, while a host learns of a slot freed by another host's call only from its next answer.
 */
const maxQueuedAtBackend = 2;
/** Further calls of the most urgent rank that may queue at a backend server. */
const extraQueuedForMostUrgent = 1;
/** Cost of leaving the zone on top of the network delay, so that small differences move no calls. */
const leaveZonePenaltyMs = 8;
/** Cost of leaving the region on top of the network delay. */
const leaveRegionPenaltyMs = 25;
/** Weight of the failure share in the cost, since a failed call costs a whole further attempt. */
const failureWeight = 4;
/** Multiple of the expected time after which a call in flight counts as stuck. */
const stuckFactor = 4;
/** A backend server that a call could be sent to. */
export interface Candidate extends ScoredBackend {
  /** Whether the call may be sent there now. */
  readonly hasRoom: boolean;
}

/** What the score of a candidate depends on beside the call and the backend server. */
export interface ScoreInputs {
  readonly times: AnswerTimeEstimates;
  /** Calls of this host that wait for the backend server and are served before the call. */
  readonly waiting: number;
  /** Entry hosts whose calls compete for its slots. */
  readonly hostsSharing: number;
  /** Calls per slot that are assumed without a recent report. */
  readonly assumedLoadPerSlot: number;
  /** Share of the calls that the host's region runs itself. */
  readonly homeShare: number;
  /** Monotonic time. */
  readonly nowMs: number;
}

function distancePenaltyMs({ distance }: TrackedBackend): number {
  if (distance === 'zone') return 0;
  return distance === 'region' ? leaveZonePenaltyMs : leaveRegionPenaltyMs;
}

/** Cost of evicting a warm object for that of a call: the difference of a cold and a warm answer. */
function evictionCostMs({ routeId, targetMs }: PlaceableCall, times: AnswerTimeEstimates): number {
  const coldMs = times.expectedMs(routeId, targetMs, false);
  return coldMs - times.expectedMs(routeId, targetMs, true);
}

/** Scores a backend server for a call by the expected time until its caller has the answer. */
export function scoreCandidate(
  call: PlaceableCall,
  preferred: PreferredBackend,
  { times, waiting, hostsSharing, assumedLoadPerSlot, homeShare, nowMs }: ScoreInputs,
): Candidate {
  const { backend } = preferred;
  const { objectKey } = call;
  const hasRunObject = objectKey !== undefined && backend.warmObjects.has(objectKey);
  const isWarm = hasRunObject || (objectKey !== undefined && preferred.isPrimary);
  const typicalMs = times.expectedMs(call.routeId, call.targetMs, isWarm);
  const workTimeFactor = backend.workTimeFactorAt(nowMs);
  const expectedMs = typicalMs * backend.slownessAt(nowMs) * workTimeFactor;
  const load = backend.load(nowMs, assumedLoadPerSlot) + waiting;
  const { slots } = backend.record;
  const limit = slots + maxQueuedAtBackend + (call.rank === 0 ? extraQueuedForMostUrgent : 0);
  const hasRoom = load <= limit;
  // Calls that wait at other hosts for the same slots are unknown; each host is assumed to have as many.
  const waitingElsewhere = waiting * (hostsSharing - 1);
  const callsAhead = Math.max(0, load + waitingElsewhere - slots + 1);
  const waitMs = (callsAhead * expectedMs) / slots;
  // A call in flight for much longer than expected shows that the backend server is stuck.
  const stuckMs = Math.max(0, backend.oldestInFlightMs(nowMs) - stuckFactor * expectedMs);
  const failureMs = backend.failureShareAt(nowMs) * failureWeight * call.targetMs;
  const evictionMs = objectKey === undefined || isWarm ? 0 : evictionCostMs(call, times);
  const overheadMs = 2 * backend.linkMs + distancePenaltyMs(backend) + evictionMs;
  const costMs = overheadMs + waitMs + expectedMs + stuckMs + failureMs;
  return {
    backend,
    isWarm,
    hasRunObject,
    expectedMs,
    choice: 'planned',
    homeShare,
    load,
    waitMs,
    hasRoom,
    costMs,
  };
}
