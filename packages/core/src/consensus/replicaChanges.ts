import type { MembershipChange, Members, RefusalReason, ReplicaId } from './consensusTypes.js';
import { hostIdOf } from './membership.js';
import {
  hasAnsweredSince,
  isMember,
  quorumSize,
  type Leadership,
  type ReplicaState,
} from './replicaState.js';

/** Planning of replica changes that an operator requests. */

/** A requested change and the replicas that it is based on. */
export interface RequestedChange {
  readonly change: MembershipChange;
  readonly baseReplicaIds: readonly ReplicaId[];
  /** Monotonic time at which the leader received the request. */
  readonly requestedAtMs: number;
}

/** Why a requested change is refused. */
export type ChangeRefusal = RefusalReason | 'otherBase' | 'noMajority';

/** What the leader does with a requested change. */
export type ChangePlan =
  | { readonly plan: 'done' }
  /** Plan again shortly: an entry is not committed yet, or acknowledgements are outstanding. */
  | { readonly plan: 'wait' }
  | { readonly plan: 'make'; readonly change: MembershipChange }
  | { readonly plan: 'refuse'; readonly reason: ChangeRefusal };

function replicaIdsOf({ voters, learners }: Members): readonly ReplicaId[] {
  return [...voters, ...learners];
}

function isBasedOnMembers(members: Members, baseReplicaIds: readonly ReplicaId[]): boolean {
  const baseIds = new Set(baseReplicaIds);
  const currentIds = replicaIdsOf(members);
  return currentIds.length === baseIds.size && currentIds.every((id) => baseIds.has(id));
}

/**
 * Whether a majority of the voters that remain after a removal has acknowledged a message that was
 * sent at `sinceMs` or later.
 */
function hasMajorityWithout(
  state: ReplicaState,
  leadership: Leadership,
  removedId: ReplicaId,
  sinceMs: number,
): boolean {
  const voters = state.members.voters.filter((id) => id !== removedId);
  const answeringVoters = voters.filter((id) => hasAnsweredSince(state, leadership, id, sinceMs));
  return voters.length > 0 && answeringVoters.length >= quorumSize({ voters, learners: [] });
}

/**
 * Plans a removal. A majority of the remaining voters must acknowledge a message sent after the
 * request, so that the loss of a voter shortly before the request is noticed.
 */
function planRemoval(
  state: ReplicaState,
  leadership: Leadership,
  { change, requestedAtMs }: RequestedChange,
  nowMs: number,
): ChangePlan {
  if (hasMajorityWithout(state, leadership, change.replicaId, requestedAtMs)) {
    return { plan: 'make', change };
  }
  const isTimedOut = nowMs - requestedAtMs > state.options.electionTimeoutMs;
  return isTimedOut ? { plan: 'refuse', reason: 'noMajority' } : { plan: 'wait' };
}

/**
 * Plans a change on the leader. A change that is already in effect is `done` whatever its base, so
 * that a resent request gets the same answer as the first one.
 *
 * @param nowMs - monotonic time
 */
export function planReplicaChange(
  state: ReplicaState,
  requested: RequestedChange,
  nowMs: number,
): ChangePlan {
  const { leadership, members } = state;
  const { change, baseReplicaIds } = requested;
  const { replicaId } = change;
  if (leadership === undefined || leadership.handOver !== undefined) {
    return { plan: 'refuse', reason: 'notLeader' };
  }
  const isPending = state.membersIndex > state.commitIndex;
  if (isPending || state.commitIndex < leadership.firstIndex) return { plan: 'wait' };
  if (isMember(members, replicaId) === (change.change === 'add')) return { plan: 'done' };
  if (!isBasedOnMembers(members, baseReplicaIds)) return { plan: 'refuse', reason: 'otherBase' };
  if (change.change === 'add') {
    const hasOtherLearner = members.learners.some((id) => hostIdOf(id) !== hostIdOf(replicaId));
    return hasOtherLearner ? { plan: 'refuse', reason: 'changePending' } : { plan: 'make', change };
  }
  return planRemoval(state, leadership, requested, nowMs);
}
