/* eslint no-param-reassign: ['error', { props: false }] */
import type { Members, MembershipChange, RefusalReason, ReplicaId } from './consensusTypes.js';
import { appendAsLeader, createProgress, sendPendingEntries } from './replication.js';
import { latestMembers, lastIndexOf } from './replicaLog.js';
import { isMember, peersOf, type Leadership, type ReplicaState } from './replicaState.js';

/** Membership changes, one at a time. */

/** Host identity within a replica identity. */
export function hostIdOf(replicaId: ReplicaId): string {
  return replicaId.slice(0, replicaId.indexOf('/'));
}

/** Adopts the newest members in the log; they take effect before they are committed. */
export function adoptMembers(
  state: ReplicaState,
  latest: { members: Members; index: number },
): void {
  state.members = latest.members;
  state.membersIndex = latest.index;
  const { leadership } = state;
  if (leadership === undefined) return;
  const peers = new Set(peersOf(state));
  for (const id of leadership.progress.keys()) {
    if (!peers.has(id)) leadership.progress.delete(id);
  }
  for (const id of peers) {
    if (!leadership.progress.has(id)) leadership.progress.set(id, createProgress(state));
  }
}

/**
 * The members after a change, or undefined if nothing changes or no voter would remain. An added
 * replica replaces other incarnations on its host.
 */
export function membersAfterChange(
  members: Members,
  change: MembershipChange,
): Members | undefined {
  const { replicaId } = change;
  const isKnown = isMember(members, replicaId);
  const without = (list: readonly ReplicaId[], isDropped: (id: ReplicaId) => boolean) =>
    list.filter((id) => !isDropped(id));
  if (change.change === 'remove') {
    if (!isKnown) return undefined;
    const voters = without(members.voters, (id) => id === replicaId);
    if (voters.length === 0) return undefined;
    return { voters, learners: without(members.learners, (id) => id === replicaId) };
  }
  if (isKnown) return undefined;
  const isOnSameHost = (id: ReplicaId) => hostIdOf(id) === hostIdOf(replicaId);
  const voters = without(members.voters, isOnSameHost);
  if (voters.length === 0) return undefined;
  return { voters, learners: [...without(members.learners, isOnSameHost), replicaId] };
}

/** Why no change of the members can start now; undefined if one can. */
export function changeRefusalReason(state: ReplicaState): RefusalReason | undefined {
  const { leadership } = state;
  if (leadership === undefined || leadership.handOver !== undefined) return 'notLeader';
  if (state.membersIndex > state.commitIndex) return 'changePending';
  if (state.commitIndex < leadership.firstIndex) return 'changePending';
  return undefined;
}

function appendMembers(state: ReplicaState, leadership: Leadership, members: Members): void {
  appendAsLeader(state, [{ kind: 'members', members }]);
  adoptMembers(state, latestMembers(state.log, lastIndexOf(state.log)));
  for (const id of peersOf(state)) sendPendingEntries(state, leadership, id);
}

/** Starts a membership change or refuses it. */
export function changeMembers(state: ReplicaState, change: MembershipChange): void {
  const members = membersAfterChange(state.members, change);
  const reason = changeRefusalReason(state) ?? (members === undefined ? 'unchanged' : undefined);
  if (reason !== undefined || members === undefined || state.leadership === undefined) {
    state.effects.push({ kind: 'changeRefused', reason: reason ?? 'unchanged' });
    return;
  }
  appendMembers(state, state.leadership, members);
}

/**
 * Promotes a learner to voter once it has all committed entries and has acknowledged a message that
 * was sent within the last election timeout.
 */
export function promoteLearner(state: ReplicaState): void {
  const { leadership } = state;
  if (leadership === undefined || changeRefusalReason(state) !== undefined) return;
  for (const id of state.members.learners) {
    const progress = leadership.progress.get(id);
    if (progress === undefined || progress.ackedRound === 0) continue;
    const silentMs = state.nowMs - progress.ackedSentAtMs;
    if (progress.matchIndex < state.commitIndex) continue;
    if (silentMs > state.options.electionTimeoutMs) continue;
    appendMembers(state, leadership, {
      voters: [...state.members.voters, id],
      learners: state.members.learners.filter((learner) => learner !== id),
    });
    return;
  }
}
