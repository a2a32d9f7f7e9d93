/* eslint no-param-reassign: ['error', { props: false }] */
import type {
  AppendMessage,
  AppendReply,
  EntryBody,
  LogEntry,
  Proposal,
  ReplicaId,
  SnapshotReply,
} from './consensusTypes.js';
import { advanceCommit, commitTo } from './commitment.js';
import { echoFor, recordStamp } from './confirmedState.js';
import { adoptMembers } from './membership.js';
import { confirmReads } from './reads.js';
import {
  entriesFrom,
  lastIndexOf,
  latestMembers,
  logBytes,
  termAt,
  truncateFrom,
} from './replicaLog.js';
import {
  peersOf,
  persistEntries,
  persistTruncation,
  send,
  sendAfterSync,
  type Leadership,
  type Progress,
  type ReplicaState,
} from './replicaState.js';
import { sendSnapshotChunk } from './snapshots.js';

/** Replication of entries from the leader to its followers. */

/** Initial progress of a replica: probing starts at the end of the leader's log. */
export function createProgress(state: ReplicaState): Progress {
  return {
    matchIndex: 0,
    nextIndex: lastIndexOf(state.log) + 1,
    isProbing: true,
    trackedSinceMs: state.nowMs,
    ackedRound: 0,
    ackedSentAtMs: Number.NEGATIVE_INFINITY,
  };
}

function sendAppend(
  state: ReplicaState,
  leadership: Leadership,
  to: ReplicaId,
  progress: Progress,
  entries: readonly LogEntry[],
): void {
  const prevIndex = progress.nextIndex - 1;
  send(state, {
    kind: 'append',
    from: state.id,
    to,
    term: state.term,
    prevIndex,
    prevTerm: termAt(state.log, prevIndex) ?? 0,
    entries,
    commitIndex: state.commitIndex,
    echo: echoFor(state, leadership, progress),
    round: leadership.round,
    sentAtMs: state.nowMs,
  });
  if (!progress.isProbing) progress.nextIndex += entries.length;
}

function needsSnapshot(state: ReplicaState, progress: Progress): boolean {
  return progress.snapshotTransfer !== undefined || progress.nextIndex <= state.log.baseIndex;
}

/** Sends the entries that a replica lacks, up to the limit of unacknowledged entries. */
export function sendPendingEntries(
  state: ReplicaState,
  leadership: Leadership,
  to: ReplicaId,
): void {
  const progress = leadership.progress.get(to);
  if (progress === undefined || progress.isProbing || needsSnapshot(state, progress)) return;
  const { maxAppendEntries, maxAppendBytes, maxInFlightEntries } = state.options;
  while (progress.nextIndex <= lastIndexOf(state.log)) {
    if (progress.nextIndex - 1 - progress.matchIndex >= maxInFlightEntries) return;
    const entries = entriesFrom(state.log, progress.nextIndex, maxAppendEntries, maxAppendBytes);
    sendAppend(state, leadership, to, progress, entries);
  }
}

/** Appends entries of the current term and returns the index of the first. */
export function appendAsLeader(state: ReplicaState, bodies: readonly EntryBody[]): number {
  const firstIndex = lastIndexOf(state.log) + 1;
  const entries: LogEntry[] = [];
  for (const [offset, body] of bodies.entries()) {
    entries.push({ index: firstIndex + offset, term: state.term, body });
  }
  state.log.entries.push(...entries);
  persistEntries(state, entries);
  return firstIndex;
}

/**
 * Sends the next entries to a replica whose matching entry is unknown; without entries if an earlier
 * probe carried them.
 */
function sendProbe(
  state: ReplicaState,
  leadership: Leadership,
  to: ReplicaId,
  progress: Progress,
): void {
  const { maxAppendEntries, maxAppendBytes } = state.options;
  const { nextIndex, probedIndex } = progress;
  const isRepeated = probedIndex === nextIndex;
  const entries = isRepeated
    ? []
    : entriesFrom(state.log, nextIndex, maxAppendEntries, maxAppendBytes);
  if (entries.length > 0) progress.probedIndex = nextIndex;
  sendAppend(state, leadership, to, progress, entries);
}

/** Starts a new round: at least one message to every other replica. */
export function broadcast(state: ReplicaState, leadership: Leadership): void {
  leadership.round += 1;
  leadership.nextHeartbeatMs = state.nowMs + state.options.heartbeatMs;
  for (const to of peersOf(state)) {
    const progress = leadership.progress.get(to);
    if (progress === undefined) continue;
    if (needsSnapshot(state, progress)) {
      sendSnapshotChunk(state, leadership, to, progress);
      continue;
    }
    if (progress.isProbing) {
      sendProbe(state, leadership, to, progress);
      continue;
    }
    const nextIndexBefore = progress.nextIndex;
    sendPendingEntries(state, leadership, to);
    if (progress.nextIndex === nextIndexBefore) sendAppend(state, leadership, to, progress, []);
  }
  confirmReads(state, leadership);
}

/** Becomes leader of the current term and appends a no-op entry of that term. */
export function becomeLeader(state: ReplicaState): void {
  const progress = new Map<ReplicaId, Progress>();
  for (const id of peersOf(state)) progress.set(id, createProgress(state));
  state.leadership = {
    progress,
    round: 0,
    nextHeartbeatMs: state.nowMs,
    startedAtMs: state.nowMs,
    firstIndex: lastIndexOf(state.log) + 1,
    readsInRound: [],
    waitingReads: [],
  };
  appendAsLeader(state, [{ kind: 'noop' }]);
  broadcast(state, state.leadership);
}

/** Whether the uncommitted part of the log is too long for further proposals. */
function isBusyFor(state: ReplicaState, proposals: readonly Proposal[]): boolean {
  const { log, commitIndex, options } = state;
  const uncommittedEntries = lastIndexOf(log) - commitIndex;
  if (uncommittedEntries + proposals.length > options.maxUncommittedEntries) return true;
  return logBytes(log, commitIndex + 1) >= options.maxUncommittedBytes;
}

/** Appends all proposals to the log, or refuses all of them. */
export function propose(state: ReplicaState, proposals: readonly Proposal[]): void {
  const { leadership } = state;
  const isBusy = isBusyFor(state, proposals);
  if (leadership === undefined || leadership.handOver !== undefined || isBusy) {
    const reason = isBusy ? 'busy' : 'notLeader';
    for (const { proposalId } of proposals) {
      state.effects.push({ kind: 'refused', proposalId, reason });
    }
    return;
  }
  const bodies = proposals.map(({ data }): EntryBody => ({ kind: 'command', data }));
  const firstIndex = appendAsLeader(state, bodies);
  for (const [offset, { proposalId }] of proposals.entries()) {
    const index = firstIndex + offset;
    state.effects.push({ kind: 'accepted', proposalId, index, term: state.term });
  }
  for (const id of peersOf(state)) sendPendingEntries(state, leadership, id);
}

/** Appends the entries of a message that the log lacks, after removing conflicting ones. */
function appendEntries(state: ReplicaState, message: AppendMessage): void {
  const { log } = state;
  const newEntries: LogEntry[] = [];
  for (const entry of message.entries) {
    if (entry.index <= log.baseIndex) continue;
    const knownTerm = termAt(log, entry.index);
    if (knownTerm === entry.term && newEntries.length === 0) continue;
    if (entry.index <= state.commitIndex)
      throw new Error(`append conflicts with committed entry ${entry.index}`);
    if (knownTerm !== undefined && newEntries.length === 0) {
      truncateFrom(log, entry.index);
      persistTruncation(state, entry.index);
    }
    newEntries.push(entry);
  }
  if (newEntries.length === 0) return;
  log.entries.push(...newEntries);
  persistEntries(state, newEntries);
  adoptMembers(state, latestMembers(log, lastIndexOf(log)));
}

/** Handles entries from the leader; the reply is sent once they are synced. */
export function onAppend(state: ReplicaState, message: AppendMessage): void {
  const { log } = state;
  const reply = (success: boolean, matchIndex: number) =>
    sendAfterSync(state, {
      kind: 'appendReply',
      from: state.id,
      to: message.from,
      term: state.term,
      success,
      matchIndex,
      prevIndex: message.prevIndex,
      round: message.round,
      sentAtMs: message.sentAtMs,
    });
  const isBeforeBase = message.prevIndex < log.baseIndex;
  if (!isBeforeBase && termAt(log, message.prevIndex) !== message.prevTerm) {
    reply(false, Math.min(lastIndexOf(log), Math.max(message.prevIndex - 1, state.commitIndex)));
    return;
  }
  appendEntries(state, message);
  const matchIndex = message.prevIndex + message.entries.length;
  commitTo(state, Math.min(message.commitIndex, Math.max(matchIndex, state.commitIndex)));
  reply(true, matchIndex);
}

/** Records the round and the send time that a reply acknowledges, and what it tells of its replica. */
export function recordAck(progress: Progress, reply: AppendReply | SnapshotReply): void {
  recordStamp(progress, reply);
  progress.readsCompressed = reply.readsCompressed === true;
  progress.ackedRound = Math.max(progress.ackedRound, reply.round);
  progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, reply.sentAtMs);
}

function recordMatch(state: ReplicaState, progress: Progress, matchIndex: number): void {
  progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  progress.isProbing = false;
  const { snapshotTransfer: transfer } = progress;
  const isInstalled =
    transfer !== undefined &&
    progress.matchIndex >= Math.min(state.log.baseIndex, transfer.snapshot.index);
  if (isInstalled) progress.snapshotTransfer = undefined;
  advanceCommit(state);
}

/** Moves `nextIndex` back after a refused append and probes from there. */
function backtrack(
  state: ReplicaState,
  leadership: Leadership,
  progress: Progress,
  reply: AppendReply,
): void {
  const isStale = progress.isProbing
    ? reply.prevIndex !== progress.nextIndex - 1
    : reply.prevIndex <= progress.matchIndex || reply.prevIndex >= progress.nextIndex;
  if (isStale || progress.snapshotTransfer !== undefined) return;
  progress.isProbing = true;
  progress.nextIndex = Math.max(progress.matchIndex, reply.matchIndex) + 1;
  if (!needsSnapshot(state, progress)) sendProbe(state, leadership, reply.from, progress);
}

/** Updates the progress of a replica from its reply and sends what it lacks. */
export function onAppendReply(state: ReplicaState, message: AppendReply): void {
  const { leadership } = state;
  const progress = leadership?.progress.get(message.from);
  if (leadership === undefined || progress === undefined) return;
  recordAck(progress, message);
  if (message.success) recordMatch(state, progress, message.matchIndex);
  else backtrack(state, leadership, progress, message);
  if (needsSnapshot(state, progress) && progress.snapshotTransfer === undefined) {
    sendSnapshotChunk(state, leadership, message.from, progress);
  }
  sendPendingEntries(state, leadership, message.from);
  confirmReads(state, leadership);
}
