import type { ReplicaState } from './replicaState.js';

/**
 * Time at which a tick has something to do next. A tick at any earlier time does no harm.
 *
 * @param state - replica
 * @returns monotonic time; negative infinity where ticks are needed all the time
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
