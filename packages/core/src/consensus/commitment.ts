/* eslint no-param-reassign: ['error', { props: false }] */
import { releaseConfirmations } from './confirmedState.js';
import { confirmReads, releaseCommittedReads } from './reads.js';
import { termAt } from './replicaLog.js';
import { isVoter, quorumValue, type Leadership, type ReplicaState } from './replicaState.js';

/** Commitment by a quorum, and the leader's lease. */

/** Duration of a lease as a fraction of the election timeout; the rest allows for clock drift. */
const leaseFraction = 0.8;

/** Advances the commit index to one known to be committed and applies the entries up to it. */
export function commitTo(state: ReplicaState, index: number): void {
  if (index <= state.commitIndex) return;
  const entries = state.log.entries.slice(
    state.commitIndex - state.log.baseIndex,
    index - state.log.baseIndex,
  );
  state.commitIndex = index;
  state.effects.push({ kind: 'apply', entries });
  for (const entry of entries) {
    if (entry.body.kind !== 'members') continue;
    const { members } = entry.body;
    state.effects.push({ kind: 'membersChanged', members, index: entry.index });
  }
  releaseCommittedReads(state);
  releaseConfirmations(state);
}

/** Commits what a quorum has synced, if it ends with an entry of the current term. */
export function advanceCommit(state: ReplicaState): void {
  const { leadership } = state;
  if (leadership === undefined) return;
  const index = quorumValue(state.members, (id) => {
    if (id === state.id) return state.syncedIndex;
    return leadership.progress.get(id)?.matchIndex ?? 0;
  });
  if (index <= state.commitIndex || termAt(state.log, index) !== state.term) return;
  commitTo(state, index);
  confirmReads(state, leadership);
}

/** Send time, by the leader's clock, of the newest message that a quorum has acknowledged. */
export function quorumAckedSentAtMs(state: ReplicaState, leadership: Leadership): number {
  return quorumValue(state.members, (id) => {
    if (id === state.id) return state.nowMs;
    return leadership.progress.get(id)?.ackedSentAtMs ?? 0;
  });
}

/**
 * Time until which no other replica can be elected; undefined unless this is a leading voter whose clock has
 * run without a break since a quorum acknowledged it.
 */
export function leaseUntilMs(state: ReplicaState): number | undefined {
  const { leadership } = state;
  if (leadership === undefined || !isVoter(state)) return undefined;
  const quorumHeardAtMs = quorumAckedSentAtMs(state, leadership);
  if (quorumHeardAtMs <= state.trustedSinceMs) return undefined;
  return quorumHeardAtMs + state.options.electionTimeoutMs * leaseFraction;
}

/**
 * Whether the replica leads and no other replica can have been elected yet; false during a
 * leadership transfer.
 *
 * @param nowMs - monotonic time
 */
export function holdsLease(state: ReplicaState, nowMs: number): boolean {
  const untilMs = leaseUntilMs(state);
  if (untilMs === undefined || state.leadership?.handOver !== undefined) return false;
  return nowMs < untilMs;
}
