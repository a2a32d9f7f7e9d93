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
import { advanceCommit, quorumAckedSentAtMs } from './commitment.js';
import { recordEcho } from './confirmedState.js';
import { continueHandOver, startHandOver } from './handOver.js';
import { changeMembers, promoteLearner } from './membership.js';
import { expireForwardedReads, onReadIndex, onReadIndexReply, startRead } from './reads.js';
import { broadcast, onAppend, onAppendReply, propose } from './replication.js';
import {
  isVoter,
  markSynced,
  resetElectionDeadline,
  sendAfterSync,
  finishStep,
  type ReplicaState,
} from './replicaState.js';
import { removeSilentReplica } from './silentReplicas.js';
import { compact, onSnapshotChunk, onSnapshotReply } from './snapshots.js';

/** State machine of one replica: each step takes one input and returns effects. */

/**
 * Steps down if no quorum has acknowledged a message sent within the last election timeout, or if
 * the leader's removal from the voters is committed.
 */
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
    if (state.nowMs < leadership.nextHeartbeatMs) return;
    removeSilentReplica(state);
    broadcast(state, leadership);
    return;
  }
  if (state.electionDeadlineMs === 0) resetElectionDeadline(state);
  if (state.nowMs >= state.electionDeadlineMs) startPreVote(state);
}

/** Tells a leader of an older term the current term. */
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
      recordEcho(state, message);
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
 * Processes one input.
 *
 * @param state - replica; changed in place
 * @returns effects that the caller carries out, in order
 */
export function step(
  state: ReplicaState,
  context: StepContext,
  input: ConsensusInput,
): ConsensusEffect[] {
  state.nowMs = context.nowMs;
  state.random = context.random;
  if (state.clockId === 0) state.clockId = context.random;
  handleInput(state, input);
  return finishStep(state);
}

/**
 * Time since the moment before which everything committed is held here: on the leader, since it sent the
 * newest message that a quorum has acknowledged; on another replica, since its newest reply that the
 * leader has echoed with a commit index that is committed here. Infinite before the first one, and while the
 * newest one is from before a break of the clock.
 *
 * @param nowMs - monotonic time
 */
export function stateAgeMs(state: ReplicaState, nowMs: number): number {
  const { leadership, confirmedBeforeMs, trustedSinceMs, commitIndex } = state;
  if (leadership !== undefined && commitIndex < leadership.firstIndex) {
    return Number.POSITIVE_INFINITY;
  }
  const heldAtMs =
    leadership === undefined ? confirmedBeforeMs : quorumAckedSentAtMs(state, leadership);
  return heldAtMs <= trustedSinceMs ? Number.POSITIVE_INFINITY : nowMs - heldAtMs;
}
