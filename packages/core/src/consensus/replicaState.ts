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
  snapshotTransfer?: { readonly snapshotIndex: number; offset: number; sentAtMs: number };
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
  readsInRound: PendingRead[];
  waitingReads: { readonly readId: number; readonly from?: ReplicaId }[];
  handOver?: { readonly untilMs: number; target?: ReplicaId };
}

/** Parts of a snapshot received so far. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly bytes: Uint8Array;
  receivedBytes: number;
}

interface PersistBatch {
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
  incomingSnapshot?: IncomingSnapshot;
  persistSequence: number;
  syncedSequence: number;
  /** Last index that is synced and still stands in the log. */
  syncedIndex: number;
  pendingSyncs: { readonly sequence: number; lastIndex: number }[];
  held: { readonly sequence: number; readonly message: ConsensusMessage }[];
  /** Own reads sent to the leader. */
  forwardedReads: Map<number, number>;
  /** Reads whose index is known and not yet applied. */
  confirmedReads: { readonly readId: number; readonly index: number }[];
  persistBatch?: PersistBatch;
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
    pendingSyncs: [],
    held: [],
    forwardedReads: new Map(),
    confirmedReads: [],
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
function currentPersistBatch(state: ReplicaState): PersistBatch {
  if (state.persistBatch === undefined) {
    state.persistBatch = { entries: [], resetLog: false };
    state.persistSequence += 1;
  }
  return state.persistBatch;
}

/** Changes term and vote. */
export function setHardState(state: ReplicaState, term: number, votedFor: ReplicaId | null): void {
  if (state.term === term && state.votedFor === votedFor) return;
  state.term = term;
  state.votedFor = votedFor;
  currentPersistBatch(state).hardState = { term, votedFor };
}

/** Adds entries to the durable changes of this step. */
export function persistEntries(state: ReplicaState, entries: readonly LogEntry[]): void {
  currentPersistBatch(state).entries.push(...entries);
}

/** Adds a truncation to the durable changes of this step. */
export function persistTruncation(state: ReplicaState, fromIndex: number): void {
  const batch = currentPersistBatch(state);
  batch.entries = batch.entries.filter((entry) => entry.index < fromIndex);
  batch.truncateFrom = Math.min(fromIndex, batch.truncateFrom ?? fromIndex);
  state.syncedIndex = Math.min(state.syncedIndex, fromIndex - 1);
  for (const sync of state.pendingSyncs) sync.lastIndex = Math.min(sync.lastIndex, fromIndex - 1);
}

/** Adds a snapshot to the durable changes of this step. */
export function persistSnapshot(state: ReplicaState, snapshot: Snapshot, resetLog: boolean): void {
  const batch = currentPersistBatch(state);
  batch.snapshot = snapshot;
  if (!resetLog) return;
  batch.resetLog = true;
  batch.entries = [];
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
export function markSynced(state: ReplicaState, sequence: number): void {
  state.syncedSequence = Math.max(state.syncedSequence, sequence);
  while (state.pendingSyncs[0] !== undefined && state.pendingSyncs[0].sequence <= sequence) {
    state.syncedIndex = state.pendingSyncs[0].lastIndex;
    state.pendingSyncs.shift();
  }
  const ready = state.held.filter((item) => item.sequence <= state.syncedSequence);
  if (ready.length === 0) return;
  state.held = state.held.filter((item) => item.sequence > state.syncedSequence);
  for (const item of ready) send(state, item.message);
}

/** Closes a step: puts its durable changes first and hands out the effects. */
export function finishStep(state: ReplicaState): ConsensusEffect[] {
  const { effects, persistBatch } = state;
  state.effects = [];
  state.persistBatch = undefined;
  if (persistBatch === undefined) return effects;
  const sequence = state.persistSequence;
  state.pendingSyncs.push({ sequence, lastIndex: lastIndexOf(state.log) });
  return [{ kind: 'persist', sequence, ...persistBatch }, ...effects];
}

/** Part of the election timeout over which replicas spread their deadlines. */
const electionJitterFraction = 0.5;

/** Sets a new random election deadline. */
export function resetElectionDeadline(state: ReplicaState): void {
  const { electionTimeoutMs } = state.options;
  state.electionDeadlineMs =
    state.nowMs + electionTimeoutMs * (1 + electionJitterFraction * state.random);
}
