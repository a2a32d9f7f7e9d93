/* eslint no-param-reassign: ['error', { props: false }] */
import { lastIndexOf } from './replicaLog.js';
import { becomeFollower } from './election.js';
import { resetElectionDeadline, send, type ReplicaState } from './replicaState.js';

/** Leadership transfer before a planned stop. */

/** Asks a caught-up voter to start an election; steps down when the election timeout has passed. */
export function continueHandOver(state: ReplicaState): void {
  const { leadership } = state;
  if (leadership?.handOver === undefined) return;
  if (state.nowMs >= leadership.handOver.untilMs) {
    becomeFollower(state, state.term, null);
    resetElectionDeadline(state);
    return;
  }
  if (leadership.handOver.target !== undefined) return;
  for (const id of state.members.voters) {
    const progress = leadership.progress.get(id);
    if (progress === undefined || progress.matchIndex < lastIndexOf(state.log)) continue;
    leadership.handOver.target = id;
    send(state, { kind: 'timeoutNow', from: state.id, to: id, term: state.term });
    return;
  }
}

/** Stops accepting proposals and starts to look for a caught-up voter. */
export function startHandOver(state: ReplicaState): void {
  const { leadership } = state;
  if (leadership === undefined || leadership.handOver !== undefined) return;
  leadership.handOver = { untilMs: state.nowMs + state.options.electionTimeoutMs };
  continueHandOver(state);
}
