/* eslint no-param-reassign: ['error', { props: false }] */
import type {
  ConsensusEffect,
  ConsensusInput,
  ConsensusMessage,
  StepContext,
} from './consensusTypes.js';
import {
  becomeFollower,
  countOwnVote,
  mayRaiseTerm,
  onPreVote,
  onPreVoteReply,
  onTimeoutNow,
  onVote,
  onVoteReply,
  startPreVote,
} from './election.js';
import { advanceCommit, leaseUntilMs, quorumAckedSentAtMs } from './commitment.js';
import { continueHandOver, startHandOver } from './handOver.js';
import { changeMembers, promoteLearner } from './membership.js';
import { expireForwardedReads, onReadIndex, onReadIndexReply, startRead } from './reads.js';
import { termAt } from './replicaLog.js';
import { broadcast, onAppend, onAppendReply, propose } from './replication.js';
import {
  isVoter,
  markSynced,
  resetElectionDeadline,
  sendAfterSync,
  finishStep,
  type ReplicaState,
} from './replicaState.js';
import { compact, onSnapshotChunk, onSnapshotReply } from './snapshots.js';

/** The step machine of one replica of a replicated log. */

/** Steps down where no quorum was heard, or where the group no longer counts the leader. */
function checkQuorum(state: ReplicaState): void {
  const { leadership } = state;
  if (leadership === undefined) return;
  const quorumHeardAtMs = Math.max(leadership.startedAtMs, quorumAckedSentAtMs(state, leadership));
  const hasLostQuorum = state.nowMs - quorumHeardAtMs >= state.options.electionTimeoutMs;
  const isRemoved = !isVoter(state) && state.commitIndex >= state.membersIndex;
  if (!hasLostQuorum && !isRemoved) return;
  becomeFollower(state, state.term, null);
  resetElectionDeadline(state);
}

function onTick(state: ReplicaState): void {
  expireForwardedReads(state);
  checkQuorum(state);
  const { leadership } = state;
  if (leadership !== undefined) {
    promoteLearner(state);
    continueHandOver(state);
    if (state.nowMs >= leadership.nextHeartbeatMs) broadcast(state, leadership);
    return;
  }
  if (state.electionDeadlineMs === 0) resetElectionDeadline(state);
  if (state.nowMs >= state.electionDeadlineMs) startPreVote(state);
}

/** Tells a sender of an older term about the own one. */
function rejectStaleTerm(state: ReplicaState, message: ConsensusMessage): void {
  if (message.kind !== 'append' && message.kind !== 'snapshotChunk') return;
  sendAfterSync(state, {
    kind: 'appendReply',
    from: state.id,
    to: message.from,
    term: state.term,
    success: false,
    matchIndex: 0,
    prevIndex: 0,
    round: 0,
    sentAtMs: 0,
  });
}

function followLeader(state: ReplicaState, message: ConsensusMessage): void {
  if (state.role !== 'follower' || state.leader !== message.from) {
    becomeFollower(state, message.term, message.from);
  }
  state.voteBlockedUntilMs = state.nowMs + state.options.electionTimeoutMs;
  resetElectionDeadline(state);
}

function onMessage(state: ReplicaState, message: ConsensusMessage): void {
  if (message.to !== state.id) return;
  if (message.term > state.term) {
    if (message.kind !== 'preVote' && !mayRaiseTerm(state, message)) return;
    if (mayRaiseTerm(state, message)) becomeFollower(state, message.term, null);
  }
  if (message.term < state.term && message.kind !== 'preVote' && message.kind !== 'vote') {
    rejectStaleTerm(state, message);
    return;
  }
  switch (message.kind) {
    case 'preVote':
      onPreVote(state, message);
      break;
    case 'preVoteReply':
      onPreVoteReply(state, message);
      break;
    case 'vote':
      onVote(state, message);
      break;
    case 'voteReply':
      onVoteReply(state, message);
      break;
    case 'append':
      followLeader(state, message);
      onAppend(state, message);
      break;
    case 'appendReply':
      onAppendReply(state, message);
      break;
    case 'snapshotChunk':
      followLeader(state, message);
      onSnapshotChunk(state, message);
      break;
    case 'snapshotReply':
      onSnapshotReply(state, message);
      break;
    case 'readIndex':
      onReadIndex(state, message);
      break;
    case 'readIndexReply':
      onReadIndexReply(state, message);
      break;
    default:
      onTimeoutNow(state);
      break;
  }
}

function onSynced(state: ReplicaState, sequence: number): void {
  markSynced(state, sequence);
  countOwnVote(state);
  advanceCommit(state);
}

function handleInput(state: ReplicaState, input: ConsensusInput): void {
  switch (input.kind) {
    case 'tick':
      onTick(state);
      break;
    case 'message':
      onMessage(state, input.message);
      break;
    case 'propose':
      propose(state, input.proposals);
      break;
    case 'synced':
      onSynced(state, input.sequence);
      break;
    case 'read':
      startRead(state, input.readId);
      break;
    case 'changeMembers':
      changeMembers(state, input.change);
      break;
    case 'compact':
      compact(state, input.index, input.data);
      break;
    default:
      startHandOver(state);
      break;
  }
}

/**
 * Moves a replica by one input.
 *
 * @param state - replica; changed in place
 * @param context - time and a random number
 * @param input - what happened
 * @returns what the shell carries out, in order
 */
export function step(
  state: ReplicaState,
  context: StepContext,
  input: ConsensusInput,
): ConsensusEffect[] {
  state.nowMs = context.nowMs;
  state.random = context.random;
  handleInput(state, input);
  return finishStep(state);
}

/**
 * Tells whether the replica leads and no other replica can have been elected yet.
 *
 * @param state - replica
 * @param nowMs - monotonic time
 */
export function holdsLease(state: ReplicaState, nowMs: number): boolean {
  const untilMs = leaseUntilMs(state);
  if (untilMs === undefined || state.leadership?.handOver !== undefined) return false;
  return nowMs < untilMs;
}

/**
 * Time since a leader that a quorum follows was last known: for the leader since it heard a quorum,
 * for the others since they heard the leader. Infinite until an entry of the leader's term is
 * committed here, since what was committed before may lack entries until then.
 *
 * @param state - replica
 * @param nowMs - monotonic time
 */
export function leaderSilentMs(state: ReplicaState, nowMs: number): number {
  const { leadership } = state;
  if (termAt(state.log, state.commitIndex) !== state.term) return Number.POSITIVE_INFINITY;
  if (leadership !== undefined) return nowMs - quorumAckedSentAtMs(state, leadership);
  if (state.leader === null) return Number.POSITIVE_INFINITY;
  return nowMs - (state.voteBlockedUntilMs - state.options.electionTimeoutMs);
}
