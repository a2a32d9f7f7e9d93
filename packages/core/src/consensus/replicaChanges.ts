import type { MembershipChange, Members, RefusalReason, ReplicaId } from './consensusTypes.js';
import { hostIdOf } from './membership.js';
import { quorumSize, type Leadership, type ReplicaState } from './replicaState.js';

/** Decides on a change of the replicas that an operator asks for. */

/** A change with the replicas that it is based on. */
export interface RequestedChange {
  readonly change: MembershipChange;
  readonly baseReplicaIds: readonly ReplicaId[];
  /** Monotonic time at which the request came. */
  readonly requestedAtMs: number;
}

/** Why a requested change is not made. */
export type ChangeRefusal = RefusalReason | 'otherBase' | 'noMajority';

/** What the leader does about a requested change. */
export type ChangePlan =
  | { readonly plan: 'done' }
  /** To be planned again soon: a change is not committed yet, or answers are awaited. */
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

/** Tells whether a majority of the voters left after a removal has answered since a time. */
function hasMajorityWithout(
  state: ReplicaState,
  leadership: Leadership,
  removedId: ReplicaId,
  sinceMs: number,
): boolean {
  const voters = state.members.voters.filter((id) => id !== removedId);
  const answeringVoters = voters.filter((id) => {
    if (id === state.id) return true;
    return (leadership.progress.get(id)?.ackedSentAtMs ?? 0) >= sinceMs;
  });
  return voters.length > 0 && answeringVoters.length >= quorumSize({ voters, learners: [] });
}

/** Plans a removal: the others must answer anew, so that a loss just before is noticed. */
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
 * Plans a change on the leader. A change whose aim is reached is done, whatever it is based on, so
 * that a resend is answered like the first request.
 *
 * @param state - replica
 * @param requested - change and its base
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
  const isMember = replicaIdsOf(members).includes(replicaId);
  if (isMember === (change.change === 'add')) return { plan: 'done' };
  if (!isBasedOnMembers(members, baseReplicaIds)) return { plan: 'refuse', reason: 'otherBase' };
  if (change.change === 'add') {
    const hasOtherLearner = members.learners.some((id) => hostIdOf(id) !== hostIdOf(replicaId));
    return hasOtherLearner ? { plan: 'refuse', reason: 'changePending' } : { plan: 'make', change };
  }
  return planRemoval(state, leadership, requested, nowMs);
}
