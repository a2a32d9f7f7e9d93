import type { ReplicaState } from './replicaState.js';

/**
 * Time from which the next tick has work to do. An earlier tick is harmless.
 *
 * @returns monotonic time; negative infinity while every tick may have work to do
 */
export function nextTickDueMs(state: ReplicaState): number {
  const { leadership, members } = state;
  if (state.forwardedReads.size > 0) return Number.NEGATIVE_INFINITY;
  if (leadership === undefined) {
    return state.leader === null ? Number.NEGATIVE_INFINITY : state.electionDeadlineMs;
  }
  const isChanging = leadership.handOver !== undefined || members.learners.length > 0;
  return isChanging ? Number.NEGATIVE_INFINITY : leadership.nextHeartbeatMs;
}
