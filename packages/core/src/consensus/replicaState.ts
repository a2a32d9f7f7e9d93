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
  ReplyStamp,
  Snapshot,
} from './consensusTypes.js';
import { stampReply } from './confirmedState.js';
import { createLogState, lastIndexOf, latestMembers, type LogState } from './replicaLog.js';

/** State of one replica and the helpers that all modules of its state machine share. */

/** A snapshot on its way to another replica, in chunks. */
export interface SnapshotTransfer {
  /** Stays the same while newer ones are taken, which would otherwise begin the transfer anew each time. */
  readonly snapshot: Snapshot;
  /** Bytes that the replica has acknowledged. */
  offset: number;
  /** Offset of the chunk that was sent last, and when; absent before the first one. */
  sentChunk?: { readonly offset: number; readonly atMs: number };
}

/** Replication progress of another replica, tracked by the leader. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  /** Whether the matching part of its log is unknown; `nextIndex` then advances only on a reply. */
  isProbing: boolean;
  /**
   * Next index of the last probe that carried entries. Repeated probes carry none: a link that delays
   * the first one would have to carry the same entries again with each heartbeat.
   */
  probedIndex?: number;
  /** Time since which the leader sends it messages. */
  readonly trackedSinceMs: number;
  /** Highest round acknowledged in this term. */
  ackedRound: number;
  /** Send time, by the leader's clock, of the newest acknowledged message. */
  ackedSentAtMs: number;
  /** Stamp of its newest reply; absent before the first one. */
  replyStamp?: ReplyStamp;
  /** Whether its newest reply says that it reads compressed commands; absent before the first one. */
  readsCompressed?: boolean;
  /** Snapshot transfer in progress; absent while log entries suffice. */
  snapshotTransfer?: SnapshotTransfer;
}

/** A read that waits for a quorum to acknowledge its round. */
export interface PendingRead {
  readonly readId: number;
  /** Replica that forwarded the read; undefined for a local read. */
  readonly from?: ReplicaId;
  /** Commit index at the start of the round. */
  readonly index: number;
  readonly round: number;
}

/** State that a replica keeps only while it leads. */
export interface Leadership {
  readonly progress: Map<ReplicaId, Progress>;
  round: number;
  nextHeartbeatMs: number;
  readonly startedAtMs: number;
  /** Index of the first entry of the leader's term. */
  readonly firstIndex: number;
  readsInRound: PendingRead[];
  /** Reads that wait for the next round. */
  waitingReads: { readonly readId: number; readonly from?: ReplicaId }[];
  /** Leadership transfer; `target` is set once a voter was asked to start an election. */
  handOver?: { readonly untilMs: number; target?: ReplicaId };
}

/** A snapshot that is received in chunks; `bytes` has the size of the whole snapshot. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly bytes: Uint8Array;
  receivedBytes: number;
}

/** All that was committed before a time has an index up to this one. */
export interface Confirmation {
  readonly index: number;
  /** Time on the clock of this replica. */
  readonly beforeMs: number;
}

/** Changes of the current step that must become durable. */
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
  /** Random number that identifies this process in the stamps of its replies. */
  clockId: number;
  term: number;
  votedFor: ReplicaId | null;
  role: ReplicaRole;
  leader: ReplicaId | null;
  members: Members;
  membersIndex: number;
  commitIndex: number;
  electionDeadlineMs: number;
  /** Time until which no vote is granted, because a leader may hold its lease. */
  voteBlockedUntilMs: number;
  votes: Set<ReplicaId>;
  /** Persist sequence that must be synced before a candidate counts its own vote. */
  ownVoteSequence: number;
  leadership?: Leadership;
  incomingSnapshot?: IncomingSnapshot;
  /** All that was committed before this time is committed here. */
  confirmedBeforeMs: number;
  /** The monotonic clock may have stood still just before this time, so that earlier ones are no measure of age. */
  trustedSinceMs: number;
  /** Confirmations whose index is not committed here yet. */
  pendingConfirmations: Confirmation[];
  persistSequence: number;
  syncedSequence: number;
  /** Last index that is synced and has not been removed from the log since. */
  syncedIndex: number;
  /** Last log index of each persist effect that is not synced yet. */
  pendingSyncs: { readonly sequence: number; lastIndex: number }[];
  /** Messages held back until their persist sequence is synced. */
  held: { readonly sequence: number; readonly message: ConsensusMessage }[];
  /** Time at which each local read was forwarded to the leader, by read id. */
  forwardedReads: Map<number, number>;
  /** Reads whose index is confirmed by a quorum but not yet committed on this replica. */
  confirmedReads: { readonly readId: number; readonly index: number }[];
  persistBatch?: PersistBatch;
  effects: ConsensusEffect[];
}

/**
 * Creates a replica from its durable state. In term 0, before the first election of a group, the
 * first voter starts an election and the others grant votes without a delay.
 *
 * @param nowMs - monotonic time; except in term 0, no vote is granted for one election timeout
 */
export function createReplica(
  id: ReplicaId,
  durable: DurableState,
  options: ConsensusOptions,
  nowMs: number,
): ReplicaState {
  const log = createLogState(durable.snapshot, durable.entries);
  const latest = latestMembers(log, lastIndexOf(log));
  // In term 0 the replica has acknowledged no leader, so no lease can depend on it.
  const isFirstElection = durable.hardState.term === 0;
  return {
    id,
    options,
    log,
    nowMs,
    random: 0,
    clockId: 0,
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
    confirmedBeforeMs: Number.NEGATIVE_INFINITY,
    trustedSinceMs: Number.NEGATIVE_INFINITY,
    pendingConfirmations: [],
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

export function isVoter(state: ReplicaState): boolean {
  return state.members.voters.includes(state.id);
}

/** Whether a replica is a voter or a learner. */
export function isMember({ voters, learners }: Members, id: ReplicaId): boolean {
  return voters.includes(id) || learners.includes(id);
}

/** Whether a replica has acknowledged a message that the leader sent at `sinceMs` or later. */
export function hasAnsweredSince(
  state: ReplicaState,
  leadership: Leadership,
  id: ReplicaId,
  sinceMs: number,
): boolean {
  if (id === state.id) return true;
  return (leadership.progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY) >= sinceMs;
}

/** Whether this replica leads and each other one has said that it reads compressed commands. */
export function doAllReadCompressed({ leadership }: ReplicaState): boolean {
  if (leadership === undefined) return false;
  return [...leadership.progress.values()].every(({ readsCompressed }) => readsCompressed === true);
}

/** All voters and learners except this replica. */
export function peersOf(state: ReplicaState): ReplicaId[] {
  return [...state.members.voters, ...state.members.learners].filter((id) => id !== state.id);
}

/** Number of voters that form a majority. */
export function quorumSize(members: Members): number {
  return Math.floor(members.voters.length / 2) + 1;
}

/** Highest value that a quorum of voters has reached. */
export function quorumValue(members: Members, valueOf: (id: ReplicaId) => number): number {
  const values = members.voters.map(valueOf).sort((left, right) => right - left);
  return values[quorumSize(members) - 1] ?? 0;
}

/** Persist batch of this step; its first use in a step allocates the sequence. */
function currentPersistBatch(state: ReplicaState): PersistBatch {
  if (state.persistBatch === undefined) {
    state.persistBatch = { entries: [], resetLog: false };
    state.persistSequence += 1;
  }
  return state.persistBatch;
}

/** Sets term and vote and adds them to the persist batch. */
export function setHardState(state: ReplicaState, term: number, votedFor: ReplicaId | null): void {
  if (state.term === term && state.votedFor === votedFor) return;
  state.term = term;
  state.votedFor = votedFor;
  currentPersistBatch(state).hardState = { term, votedFor };
}

/** Adds entries to the persist batch. */
export function persistEntries(state: ReplicaState, entries: readonly LogEntry[]): void {
  currentPersistBatch(state).entries.push(...entries);
}

/** Adds a truncation to the persist batch; the removed entries no longer count as synced. */
export function persistTruncation(state: ReplicaState, fromIndex: number): void {
  const batch = currentPersistBatch(state);
  batch.entries = batch.entries.filter((entry) => entry.index < fromIndex);
  batch.truncateFrom = Math.min(fromIndex, batch.truncateFrom ?? fromIndex);
  state.syncedIndex = Math.min(state.syncedIndex, fromIndex - 1);
  for (const sync of state.pendingSyncs) sync.lastIndex = Math.min(sync.lastIndex, fromIndex - 1);
}

/** Adds a snapshot to the persist batch. */
export function persistSnapshot(state: ReplicaState, snapshot: Snapshot, resetLog: boolean): void {
  const batch = currentPersistBatch(state);
  batch.snapshot = snapshot;
  if (!resetLog) return;
  batch.resetLog = true;
  batch.entries = [];
}

/** Sends a message without waiting for a sync. */
export function send(state: ReplicaState, message: ConsensusMessage): void {
  const isReply = message.kind === 'appendReply' || message.kind === 'snapshotReply';
  const origin = { stamp: stampReply(state), readsCompressed: true } as const;
  state.effects.push({ kind: 'send', message: isReply ? { ...message, ...origin } : message });
}

/** Sends a message once all durable changes so far are synced. */
export function sendAfterSync(state: ReplicaState, message: ConsensusMessage): void {
  if (state.syncedSequence >= state.persistSequence) {
    send(state, message);
    return;
  }
  state.held.push({ sequence: state.persistSequence, message });
}

/** Marks everything up to a sequence as synced and sends the messages that were held for it. */
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

/** Ends a step and returns its effects, the persist effect first. */
export function finishStep(state: ReplicaState): ConsensusEffect[] {
  const { effects, persistBatch } = state;
  state.effects = [];
  state.persistBatch = undefined;
  if (persistBatch === undefined) return effects;
  const sequence = state.persistSequence;
  state.pendingSyncs.push({ sequence, lastIndex: lastIndexOf(state.log) });
  return [{ kind: 'persist', sequence, ...persistBatch }, ...effects];
}

/** Largest random addition to the election timeout, as a fraction of it. */
const electionJitterFraction = 0.5;

/** Sets a new random election deadline. */
export function resetElectionDeadline(state: ReplicaState): void {
  const { electionTimeoutMs } = state.options;
  state.electionDeadlineMs =
    state.nowMs + electionTimeoutMs * (1 + electionJitterFraction * state.random);
}
