/* eslint no-param-reassign: ['error', { props: false }] */
import type { ReadIndexMessage, ReadIndexReply, ReplicaId } from './consensusTypes.js';
import { broadcast } from './replication.js';
import { quorumValue, send, type Leadership, type ReplicaState } from './replicaState.js';

/** Linearizable reads: each waits for an index that a quorum confirms after the read arrived. */

function sendReadIndexReply(
  state: ReplicaState,
  to: ReplicaId,
  readId: number,
  index: number | null,
): void {
  send(state, { kind: 'readIndexReply', from: state.id, to, term: state.term, readId, index });
}

/** Completes the confirmed reads whose index is committed on this replica. */
export function releaseCommittedReads(state: ReplicaState): void {
  if (state.confirmedReads.length === 0) return;
  const waiting = [];
  for (const read of state.confirmedReads) {
    if (read.index > state.commitIndex) waiting.push(read);
    else state.effects.push({ kind: 'readReady', readId: read.readId, index: read.index });
  }
  state.confirmedReads = waiting;
}

function resolveRead(state: ReplicaState, readId: number, index: number | null): void {
  if (index === null) {
    state.effects.push({ kind: 'readFailed', readId });
    return;
  }
  state.confirmedReads.push({ readId, index });
  releaseCommittedReads(state);
}

/**
 * Starts a round for the waiting reads, unless one is in progress or no entry of the leader's term
 * is committed yet.
 */
function startReadRound(state: ReplicaState, leadership: Leadership): void {
  if (leadership.waitingReads.length === 0 || leadership.readsInRound.length > 0) return;
  if (state.commitIndex < leadership.firstIndex) return;
  const round = leadership.round + 1;
  const index = state.commitIndex;
  leadership.readsInRound = leadership.waitingReads.map((read) => ({ ...read, index, round }));
  leadership.waitingReads = [];
  broadcast(state, leadership);
}

/** Starts a local read; a follower forwards it to the leader. */
export function startRead(state: ReplicaState, readId: number): void {
  const { leadership } = state;
  if (leadership !== undefined) {
    leadership.waitingReads.push({ readId });
    startReadRound(state, leadership);
    return;
  }
  if (state.leader === null) {
    state.effects.push({ kind: 'readFailed', readId });
    return;
  }
  state.forwardedReads.set(readId, state.nowMs);
  send(state, { kind: 'readIndex', from: state.id, to: state.leader, term: state.term, readId });
}

/** Queues a read forwarded by another replica. */
export function onReadIndex(state: ReplicaState, message: ReadIndexMessage): void {
  const { leadership } = state;
  if (leadership === undefined) {
    sendReadIndexReply(state, message.from, message.readId, null);
    return;
  }
  leadership.waitingReads.push({ readId: message.readId, from: message.from });
  startReadRound(state, leadership);
}

/** Handles the leader's reply to a forwarded read. */
export function onReadIndexReply(state: ReplicaState, message: ReadIndexReply): void {
  if (!state.forwardedReads.delete(message.readId)) return;
  resolveRead(state, message.readId, message.index);
}

/** Resolves the reads whose round a quorum has acknowledged, and starts the next round. */
export function confirmReads(state: ReplicaState, leadership: Leadership): void {
  const first = leadership.readsInRound[0];
  if (first !== undefined) {
    const confirmedRound = quorumValue(state.members, (id) => {
      if (id === state.id) return leadership.round;
      return leadership.progress.get(id)?.ackedRound ?? 0;
    });
    if (confirmedRound < first.round) return;
    const { readsInRound } = leadership;
    leadership.readsInRound = [];
    for (const { readId, from, index } of readsInRound) {
      if (from === undefined) resolveRead(state, readId, index);
      else sendReadIndexReply(state, from, readId, index);
    }
  }
  startReadRound(state, leadership);
}

/** Fails all reads of a leader that steps down. */
export function failReads(state: ReplicaState): void {
  const { leadership } = state;
  if (leadership === undefined) return;
  for (const { readId, from } of [...leadership.readsInRound, ...leadership.waitingReads]) {
    if (from === undefined) resolveRead(state, readId, null);
    else sendReadIndexReply(state, from, readId, null);
  }
}

/** Fails forwarded reads that got no reply within the election timeout. */
export function expireForwardedReads(state: ReplicaState): void {
  for (const [readId, startedAtMs] of state.forwardedReads) {
    if (state.nowMs - startedAtMs < state.options.electionTimeoutMs) continue;
    state.forwardedReads.delete(readId);
    resolveRead(state, readId, null);
  }
}
