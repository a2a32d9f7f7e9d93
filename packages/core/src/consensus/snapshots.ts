/* eslint no-param-reassign: ['error', { props: false }] */
import type { ReplicaId, Snapshot, SnapshotChunk, SnapshotReply } from './consensusTypes.js';
import { releaseConfirmations } from './confirmedState.js';
import { adoptMembers } from './membership.js';
import { recordAck, sendPendingEntries } from './replication.js';
import { compactLog, latestMembers, resetLog, termAt } from './replicaLog.js';
import {
  persistSnapshot,
  sendAfterSync,
  send,
  type Leadership,
  type Progress,
  type ReplicaState,
  type SnapshotTransfer,
} from './replicaState.js';

/** Snapshots: log compaction and installation on lagging replicas. */

/**
 * Replaces applied entries with a snapshot.
 *
 * @param index - last entry that the snapshot covers
 * @param data - encoded state of the machine
 */
export function compact(state: ReplicaState, index: number, data: Uint8Array): void {
  const { log } = state;
  const term = termAt(log, index);
  if (term === undefined || index > state.commitIndex || index <= log.snapshot.index) return;
  const { members } = latestMembers(log, index);
  const snapshot: Snapshot = { index, term, members, data };
  compactLog(log, snapshot, state.options);
  persistSnapshot(state, snapshot, false);
}

/** Transfer to continue; one of which nothing is acknowledged begins with the newest snapshot. */
function currentTransfer(state: ReplicaState, progress: Progress): SnapshotTransfer {
  const { snapshotTransfer: known } = progress;
  if (known !== undefined && known.offset > 0) return known;
  const { snapshot } = state.log;
  return known?.snapshot === snapshot ? known : { snapshot, offset: 0 };
}

/**
 * Sends the next chunk of a snapshot; one chunk is in flight at a time. Until an election timeout has
 * passed, a repeated one carries no bytes, as it is a heartbeat only.
 */
export function sendSnapshotChunk(
  state: ReplicaState,
  leadership: Leadership,
  to: ReplicaId,
  progress: Progress,
): void {
  const { snapshotChunkBytes, electionTimeoutMs } = state.options;
  const transfer = currentTransfer(state, progress);
  progress.snapshotTransfer = transfer;
  const { snapshot, offset, sentChunk } = transfer;
  const isUnderWay =
    sentChunk?.offset === offset && state.nowMs - sentChunk.atMs < electionTimeoutMs;
  if (!isUnderWay) transfer.sentChunk = { offset, atMs: state.nowMs };
  send(state, {
    kind: 'snapshotChunk',
    from: state.id,
    to,
    term: state.term,
    snapshotIndex: snapshot.index,
    snapshotTerm: snapshot.term,
    members: snapshot.members,
    totalBytes: snapshot.data.byteLength,
    offset,
    data: snapshot.data.subarray(offset, offset + (isUnderWay ? 0 : snapshotChunkBytes)),
    round: leadership.round,
    sentAtMs: state.nowMs,
  });
}

function replyReceived(state: ReplicaState, message: SnapshotChunk, nextOffset: number): void {
  sendAfterSync(state, {
    kind: 'snapshotReply',
    from: state.id,
    to: message.from,
    term: state.term,
    snapshotIndex: message.snapshotIndex,
    nextOffset,
    round: message.round,
    sentAtMs: message.sentAtMs,
  });
}

function replyInstalled(state: ReplicaState, message: SnapshotChunk, matchIndex: number): void {
  sendAfterSync(state, {
    kind: 'appendReply',
    from: state.id,
    to: message.from,
    term: state.term,
    success: true,
    matchIndex,
    prevIndex: message.snapshotIndex,
    round: message.round,
    sentAtMs: message.sentAtMs,
  });
}

function installSnapshot(state: ReplicaState, snapshot: Snapshot): void {
  const { log } = state;
  state.incomingSnapshot = undefined;
  const keepsTail = termAt(log, snapshot.index) === snapshot.term;
  if (keepsTail) compactLog(log, snapshot, { retainedEntries: 0, retainedBytes: 0 });
  else resetLog(log, snapshot);
  persistSnapshot(state, snapshot, !keepsTail);
  if (!keepsTail) {
    state.syncedIndex = Math.min(state.syncedIndex, snapshot.index);
    for (const sync of state.pendingSyncs) {
      sync.lastIndex = Math.min(sync.lastIndex, snapshot.index);
    }
  }
  state.commitIndex = snapshot.index;
  releaseConfirmations(state);
  adoptMembers(state, latestMembers(log, log.baseIndex + log.entries.length));
  state.effects.push({ kind: 'restore', snapshot });
}

/** Stores a chunk of a snapshot and installs the snapshot once it is complete. */
export function onSnapshotChunk(state: ReplicaState, message: SnapshotChunk): void {
  const { snapshotIndex, snapshotTerm, totalBytes, offset, data } = message;
  if (snapshotIndex <= state.commitIndex) {
    replyInstalled(state, message, state.commitIndex);
    return;
  }
  const isNew =
    state.incomingSnapshot?.index !== snapshotIndex || state.incomingSnapshot.term !== snapshotTerm;
  if (state.incomingSnapshot === undefined || isNew) {
    const bytes = new Uint8Array(totalBytes);
    state.incomingSnapshot = { index: snapshotIndex, term: snapshotTerm, bytes, receivedBytes: 0 };
  }
  const { incomingSnapshot } = state;
  if (offset === incomingSnapshot.receivedBytes) {
    incomingSnapshot.bytes.set(data, offset);
    incomingSnapshot.receivedBytes += data.byteLength;
  }
  if (incomingSnapshot.receivedBytes < totalBytes) {
    replyReceived(state, message, incomingSnapshot.receivedBytes);
    return;
  }
  installSnapshot(state, {
    index: snapshotIndex,
    term: snapshotTerm,
    members: message.members,
    data: incomingSnapshot.bytes,
  });
  replyInstalled(state, message, snapshotIndex);
}

/** Sends the next chunk after a reply. */
export function onSnapshotReply(state: ReplicaState, message: SnapshotReply): void {
  const { leadership } = state;
  const progress = leadership?.progress.get(message.from);
  if (leadership === undefined || progress === undefined) return;
  recordAck(progress, message);
  const { snapshotTransfer: transfer } = progress;
  if (transfer === undefined || transfer.snapshot.index !== message.snapshotIndex) return;
  if (message.nextOffset === transfer.offset) return;
  // The replica has fewer bytes than it had acknowledged only if its process has started again.
  const isOvertaken = message.sentAtMs < (transfer.sentChunk?.atMs ?? Number.NEGATIVE_INFINITY);
  if (message.nextOffset < transfer.offset && isOvertaken) return;
  transfer.offset = message.nextOffset;
  sendSnapshotChunk(state, leadership, message.from, progress);
  sendPendingEntries(state, leadership, message.from);
}
