/* eslint no-param-reassign: ['error', { props: false }] */
import type {
  ConsensusEffect,
  ConsensusMessage,
  ConsensusOptions,
  DurableState,
  HardState,
  LogEntry,
  Members,
  ReplicaId,
  ReplicaRole,
  Snapshot,
} from './consensusTypes.js';
import { createLogState, lastIndexOf, latestMembers, type LogState } from './replicaLog.js';

/** State of one replica and the helpers that every part of the step machine uses. */

/** What a leader knows of another replica. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  /** Whether the end of its log is still unknown; one message is under way then. */
  isProbing: boolean;
  /** Highest round acknowledged in this term. */
  ackedRound: number;
  /** Own send time of the newest message acknowledged. */
  ackedSentAtMs: number;
  /** Snapshot under way; absent while entries suffice. */
  transfer?: { readonly snapshotIndex: number; offset: number; sentAtMs: number };
}

/** A read that waits for its round, or for its index to be applied. */
export interface PendingRead {
  readonly readId: number;
  /** Replica that asked; undefined for a local read. */
  readonly from?: ReplicaId;
  readonly index: number;
  readonly round: number;
}

/** What only a leader holds. */
export interface Leadership {
  readonly progress: Map<ReplicaId, Progress>;
  round: number;
  nextHeartbeatMs: number;
  readonly startedAtMs: number;
  /** Index of the first entry of the own term. */
  readonly firstIndex: number;
  reads: PendingRead[];
  waitingReads: { readonly readId: number; readonly from?: ReplicaId }[];
  handOver?: { readonly untilMs: number; target?: ReplicaId };
}

/** Parts of a snapshot received so far. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly bytes: Uint8Array;
  received: number;
}

interface Unsynced {
  hardState?: HardState;
  truncateFrom?: number;
  entries: LogEntry[];
  snapshot?: Snapshot;
  resetLog: boolean;
}

/** State of one replica. */
export interface ReplicaState {
  readonly id: ReplicaId;
  readonly options: ConsensusOptions;
  readonly log: LogState;
  nowMs: number;
  random: number;
  term: number;
  votedFor: ReplicaId | null;
  role: ReplicaRole;
  leader: ReplicaId | null;
  members: Members;
  membersIndex: number;
  commitIndex: number;
  electionDeadlineMs: number;
  /** Time until which no vote is given, because a leader may hold its lease. */
  voteBlockedUntilMs: number;
  votes: Set<ReplicaId>;
  /** Sequence whose sync makes the own vote count. */
  ownVoteSequence: number;
  leadership?: Leadership;
  incoming?: IncomingSnapshot;
  persistSequence: number;
  syncedSequence: number;
  /** Last index that is synced and still stands in the log. */
  syncedIndex: number;
  syncMarks: { readonly sequence: number; lastIndex: number }[];
  held: { readonly sequence: number; readonly message: ConsensusMessage }[];
  /** Own reads sent to the leader. */
  forwardedReads: Map<number, number>;
  /** Reads whose index is known and not yet applied. */
  readyReads: { readonly readId: number; readonly index: number }[];
  unsynced?: Unsynced;
  effects: ConsensusEffect[];
}

/**
 * Creates a replica from what its disk holds. In the first election of a group the first voter starts
 * at once and the others vote at once.
 *
 * @param id - identity of the replica
 * @param durable - synced state
 * @param options - timing and sizes
 * @param nowMs - monotonic time; no vote is given for one election timeout after it, but in term 0
 */
export function createReplica(
  id: ReplicaId,
  durable: DurableState,
  options: ConsensusOptions,
  nowMs: number,
): ReplicaState {
  const log = createLogState(durable.snapshot, durable.entries);
  const latest = latestMembers(log, lastIndexOf(log));
  // In term 0 no leader can have been heard, so no lease can rest on this replica.
  const isFirstElection = durable.hardState.term === 0;
  return {
    id,
    options,
    log,
    nowMs,
    random: 0,
    term: durable.hardState.term,
    votedFor: durable.hardState.votedFor,
    role: 'follower',
    leader: null,
    members: latest.members,
    membersIndex: latest.index,
    commitIndex: durable.snapshot.index,
    electionDeadlineMs: isFirstElection && latest.members.voters[0] === id ? nowMs : 0,
    voteBlockedUntilMs: isFirstElection ? nowMs : nowMs + options.electionTimeoutMs,
    votes: new Set(),
    ownVoteSequence: 0,
    persistSequence: 0,
    syncedSequence: 0,
    syncedIndex: lastIndexOf(log),
    syncMarks: [],
    held: [],
    forwardedReads: new Map(),
    readyReads: [],
    effects: [],
  };
}

/** Tells whether the replica counts in a quorum. */
export function isVoter(state: ReplicaState): boolean {
  return state.members.voters.includes(state.id);
}

/** Every replica but the own one. */
export function peersOf(state: ReplicaState): ReplicaId[] {
  return [...state.members.voters, ...state.members.learners].filter((id) => id !== state.id);
}

/** Number of voters that make a quorum. */
export function quorumSize(members: Members): number {
  return Math.floor(members.voters.length / 2) + 1;
}

/**
 * The highest value that a quorum of voters has reached.
 *
 * @param members - members of the group
 * @param valueOf - value of one voter
 */
export function quorumValue(members: Members, valueOf: (id: ReplicaId) => number): number {
  const values = members.voters.map(valueOf).sort((left, right) => right - left);
  return values[quorumSize(members) - 1] ?? 0;
}

/** Opens the record of changes of this step that must become durable. */
function unsyncedOf(state: ReplicaState): Unsynced {
  if (state.unsynced === undefined) {
    state.unsynced = { entries: [], resetLog: false };
    state.persistSequence += 1;
  }
  return state.unsynced;
}

/** Changes term and vote. */
export function setHardState(state: ReplicaState, term: number, votedFor: ReplicaId | null): void {
  if (state.term === term && state.votedFor === votedFor) return;
  state.term = term;
  state.votedFor = votedFor;
  unsyncedOf(state).hardState = { term, votedFor };
}

/** Adds entries to the durable changes of this step. */
export function persistEntries(state: ReplicaState, entries: readonly LogEntry[]): void {
  unsyncedOf(state).entries.push(...entries);
}

/** Adds a truncation to the durable changes of this step. */
export function persistTruncation(state: ReplicaState, fromIndex: number): void {
  const unsynced = unsyncedOf(state);
  unsynced.entries = unsynced.entries.filter((entry) => entry.index < fromIndex);
  unsynced.truncateFrom = Math.min(fromIndex, unsynced.truncateFrom ?? fromIndex);
  state.syncedIndex = Math.min(state.syncedIndex, fromIndex - 1);
  for (const mark of state.syncMarks) mark.lastIndex = Math.min(mark.lastIndex, fromIndex - 1);
}

/** Adds a snapshot to the durable changes of this step. */
export function persistSnapshot(state: ReplicaState, snapshot: Snapshot, resetLog: boolean): void {
  const unsynced = unsyncedOf(state);
  unsynced.snapshot = snapshot;
  if (!resetLog) return;
  unsynced.resetLog = true;
  unsynced.entries = [];
}

/** Sends a message at once. */
export function send(state: ReplicaState, message: ConsensusMessage): void {
  state.effects.push({ kind: 'send', message });
}

/** Sends a message once everything changed so far is synced. */
export function sendAfterSync(state: ReplicaState, message: ConsensusMessage): void {
  if (state.syncedSequence >= state.persistSequence) {
    send(state, message);
    return;
  }
  state.held.push({ sequence: state.persistSequence, message });
}

/** Takes note that everything up to a sequence is synced, and sends what waited for it. */
export function noteSynced(state: ReplicaState, sequence: number): void {
  state.syncedSequence = Math.max(state.syncedSequence, sequence);
  while (state.syncMarks[0] !== undefined && state.syncMarks[0].sequence <= sequence) {
    state.syncedIndex = state.syncMarks[0].lastIndex;
    state.syncMarks.shift();
  }
  const ready = state.held.filter((item) => item.sequence <= state.syncedSequence);
  if (ready.length === 0) return;
  state.held = state.held.filter((item) => item.sequence > state.syncedSequence);
  for (const item of ready) send(state, item.message);
}

/** Closes a step: puts its durable changes first and hands out the effects. */
export function takeEffects(state: ReplicaState): ConsensusEffect[] {
  const { effects, unsynced } = state;
  state.effects = [];
  state.unsynced = undefined;
  if (unsynced === undefined) return effects;
  const sequence = state.persistSequence;
  state.syncMarks.push({ sequence, lastIndex: lastIndexOf(state.log) });
  return [{ kind: 'persist', sequence, ...unsynced }, ...effects];
}

/** Part of the election timeout over which replicas spread their deadlines. */
const electionSpread = 0.5;

/** Sets a new random election deadline. */
export function resetElectionDeadline(state: ReplicaState): void {
  const { electionTimeoutMs } = state.options;
  state.electionDeadlineMs = state.nowMs + electionTimeoutMs * (1 + electionSpread * state.random);
}
