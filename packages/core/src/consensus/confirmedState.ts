/* eslint no-param-reassign: ['error', { props: false }] */
import { holdsLease } from './commitment.js';
import type { AppendMessage, AppendReply, ReplyStamp, SnapshotReply } from './consensusTypes.js';
import type { Leadership, Progress, ReplicaState } from './replicaState.js';

/**
 * How recent the state of a replica is known to be. Each reply of a replica bears the time on the
 * replica's own clock. The leader echoes the newest one with its commit index: all that was committed
 * before that time has an index up to this one, and is held here once that index is applied.
 */

/** Echoes that wait for entries; a further one replaces the newest of them. */
const maxPendingConfirmations = 64;

/** Time on the clock of this replica, for a reply to the leader. */
export function stampReply(state: ReplicaState): ReplyStamp {
  return { clockId: state.clockId, atMs: state.nowMs };
}

/** Records the time of a reply, on the leader. Replies that overtook each other keep the newest time. */
export function recordStamp(progress: Progress, { stamp }: AppendReply | SnapshotReply): void {
  const known = progress.replyStamp;
  if (stamp === undefined) return;
  if (known !== undefined && known.clockId === stamp.clockId && known.atMs >= stamp.atMs) return;
  progress.replyStamp = stamp;
}

/**
 * Time that the leader echoes to a replica; null unless no other leader can have been elected and an
 * entry of its own term is committed, since it may lack commits otherwise.
 */
export function echoFor(
  state: ReplicaState,
  leadership: Leadership,
  progress: Progress,
): ReplyStamp | null {
  if (state.commitIndex < leadership.firstIndex || !holdsLease(state, state.nowMs)) return null;
  return progress.replyStamp ?? null;
}

/** Takes over what is confirmed by entries that are committed here by now. */
export function releaseConfirmations(state: ReplicaState): void {
  const { pendingConfirmations, commitIndex } = state;
  const isHeld = ({ index }: { readonly index: number }) => index <= commitIndex;
  for (const { beforeMs } of pendingConfirmations.filter(isHeld)) {
    state.confirmedBeforeMs = Math.max(state.confirmedBeforeMs, beforeMs);
  }
  state.pendingConfirmations = pendingConfirmations.filter((one) => !isHeld(one));
}

/** Records the echo of a leader's message. */
export function recordEcho(state: ReplicaState, { echo, commitIndex }: AppendMessage): void {
  if (echo === null) return;
  // A leader of an earlier version echoes no time.
  const { clockId, atMs } = echo ?? stampReply(state);
  if (clockId !== state.clockId) return;
  const { pendingConfirmations } = state;
  if (pendingConfirmations.length >= maxPendingConfirmations) pendingConfirmations.pop();
  pendingConfirmations.push({ index: commitIndex, beforeMs: atMs });
  releaseConfirmations(state);
}
