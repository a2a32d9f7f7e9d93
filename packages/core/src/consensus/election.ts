/* eslint no-param-reassign: ['error', { props: false }] */
import type {
  ConsensusMessage,
  PreVoteMessage,
  PreVoteReply,
  ReplicaId,
  VoteMessage,
  VoteReply,
} from './consensusTypes.js';
import { failReads } from './reads.js';
import { becomeLeader } from './replication.js';
import { lastIndexOf, lastTermOf } from './replicaLog.js';
import {
  isVoter,
  quorumSize,
  resetElectionDeadline,
  send,
  sendAfterSync,
  setHardState,
  type ReplicaState,
} from './replicaState.js';

/** Leader election: pre-vote, vote, and stepping down. */

function emitRoleChange(state: ReplicaState): void {
  const { role, term, leader } = state;
  state.effects.push({ kind: 'roleChanged', role, term, leader });
}

/**
 * Switches to the follower role.
 *
 * @param term - term to follow in; a higher one than the current clears the vote
 * @param leader - leader of the term, or null if unknown
 */
export function becomeFollower(state: ReplicaState, term: number, leader: ReplicaId | null): void {
  const isUnchanged =
    state.role === 'follower' &&
    state.leader === leader &&
    (state.term === term || leader === null);
  if (term > state.term) setHardState(state, term, null);
  if (state.leadership !== undefined) failReads(state);
  state.role = 'follower';
  state.leader = leader;
  state.leadership = undefined;
  state.votes.clear();
  if (!isUnchanged) emitRoleChange(state);
}

/** Whether a log with this last entry is at least as up to date as the log of this replica. */
function isUpToDate(state: ReplicaState, lastIndex: number, lastTerm: number): boolean {
  const ownTerm = lastTermOf(state.log);
  if (lastTerm !== ownTerm) return lastTerm > ownTerm;
  return lastIndex >= lastIndexOf(state.log);
}

/** Whether a leader may still hold a lease that depends on this replica. */
function isVoteBlocked(state: ReplicaState): boolean {
  return state.role === 'leader' || state.nowMs < state.voteBlockedUntilMs;
}

function startElection(state: ReplicaState, handOver: boolean): void {
  setHardState(state, state.term + 1, state.id);
  state.role = 'candidate';
  state.leader = null;
  state.votes.clear();
  state.ownVoteSequence = state.persistSequence;
  resetElectionDeadline(state);
  emitRoleChange(state);
  for (const to of state.members.voters) {
    if (to === state.id) continue;
    sendAfterSync(state, {
      kind: 'vote',
      from: state.id,
      to,
      term: state.term,
      lastIndex: lastIndexOf(state.log),
      lastTerm: lastTermOf(state.log),
      handOver,
    });
  }
}

/** Asks the other voters whether they would grant a vote, before the term is raised. */
export function startPreVote(state: ReplicaState): void {
  if (!isVoter(state)) {
    resetElectionDeadline(state);
    return;
  }
  const isFirstAttempt = state.role !== 'preCandidate';
  state.role = 'preCandidate';
  state.leader = null;
  state.votes = new Set([state.id]);
  if (isFirstAttempt) emitRoleChange(state);
  state.electionDeadlineMs = state.nowMs + state.options.heartbeatMs * (1 + state.random);
  if (quorumSize(state.members) === 1) {
    startElection(state, false);
    return;
  }
  for (const to of state.members.voters) {
    if (to === state.id) continue;
    send(state, {
      kind: 'preVote',
      from: state.id,
      to,
      term: state.term,
      proposedTerm: state.term + 1,
      lastIndex: lastIndexOf(state.log),
      lastTerm: lastTermOf(state.log),
    });
  }
}

/** Answers whether this replica would vote for the sender. */
export function onPreVote(state: ReplicaState, message: PreVoteMessage): void {
  const granted =
    !isVoteBlocked(state) &&
    message.proposedTerm > state.term &&
    isUpToDate(state, message.lastIndex, message.lastTerm);
  sendAfterSync(state, {
    kind: 'preVoteReply',
    from: state.id,
    to: message.from,
    term: granted ? message.term : state.term,
    proposedTerm: message.proposedTerm,
    granted,
  });
}

function hasQuorumOfVotes(state: ReplicaState): boolean {
  const grantingVoters = state.members.voters.filter((id) => state.votes.has(id));
  return grantingVoters.length >= quorumSize(state.members);
}

/** Counts a granted pre-vote and starts the election once a quorum has granted one. */
export function onPreVoteReply(state: ReplicaState, message: PreVoteReply): void {
  if (state.role !== 'preCandidate' || !message.granted) return;
  if (message.proposedTerm !== state.term + 1) return;
  state.votes.add(message.from);
  if (hasQuorumOfVotes(state)) startElection(state, false);
}

function becomeLeaderIfElected(state: ReplicaState): void {
  if (state.role !== 'candidate' || !hasQuorumOfVotes(state)) return;
  state.role = 'leader';
  state.leader = state.id;
  emitRoleChange(state);
  becomeLeader(state);
}

/**
 * Whether a message may raise the term of this replica. A vote request may not while a leader may
 * hold its lease, unless that leader requested the election.
 */
export function mayRaiseTerm(state: ReplicaState, message: ConsensusMessage): boolean {
  if (message.kind === 'preVote') return false;
  if (message.kind !== 'vote') return true;
  return message.handOver || !isVoteBlocked(state);
}

/** Grants or refuses a vote; the reply is sent once the vote is synced. */
export function onVote(state: ReplicaState, message: VoteMessage): void {
  if (message.term > state.term) return;
  const hasFreeVote = state.votedFor === null || state.votedFor === message.from;
  const granted =
    message.term === state.term &&
    hasFreeVote &&
    isUpToDate(state, message.lastIndex, message.lastTerm);
  if (granted) {
    setHardState(state, state.term, message.from);
    resetElectionDeadline(state);
  }
  sendAfterSync(state, {
    kind: 'voteReply',
    from: state.id,
    to: message.from,
    term: state.term,
    granted,
  });
}

/** Counts a vote from another replica. */
export function onVoteReply(state: ReplicaState, message: VoteReply): void {
  if (state.role !== 'candidate' || message.term !== state.term || !message.granted) return;
  state.votes.add(message.from);
  becomeLeaderIfElected(state);
}

/** Counts the candidate's vote for itself once that vote is synced. */
export function countOwnVote(state: ReplicaState): void {
  if (state.role !== 'candidate' || state.syncedSequence < state.ownVoteSequence) return;
  state.votes.add(state.id);
  becomeLeaderIfElected(state);
}

/** Starts an election immediately at the leader's request. */
export function onTimeoutNow(state: ReplicaState): void {
  if (state.role !== 'follower' || !isVoter(state)) return;
  startElection(state, true);
}
