import test from 'ava';

import type { DurableState } from './consensusTypes.js';
import { leaderSilentMs, step } from './replica.js';
import { createReplica, type ReplicaState } from './replicaState.js';
import { sampleOptions } from './sampleOptions.js';

/** Snapshot up to index 1, and a command of term 1 at index 2 that may not be committed. */
function durableState(voters: readonly string[]): DurableState {
  const command = { kind: 'command', data: new Uint8Array([1]) } as const;
  return {
    hardState: { term: 1, votedFor: null },
    snapshot: {
      index: 1,
      term: 1,
      members: { voters, learners: [] },
      data: new Uint8Array(0),
    },
    entries: [{ index: 2, term: 1, body: command }],
  };
}

/** Ticks a replica and, if `isSynced`, reports its changes as synced. */
function tick(state: ReplicaState, nowMs: number, isSynced = true): void {
  const effects = step(state, { nowMs, random: 0.5 }, { kind: 'tick' });
  const persisted = effects.findLast((effect) => effect.kind === 'persist');
  if (!isSynced || persisted?.kind !== 'persist') return;
  step(state, { nowMs, random: 0.5 }, { kind: 'synced', sequence: persisted.sequence });
}

test('a new leader reports no leader contact until an entry of its term is committed', (t) => {
  const state = createReplica('a/1', durableState(['a/1']), sampleOptions, 0);
  let nowMs = 0;
  while (state.role !== 'leader' && nowMs < 10_000) {
    nowMs += 50;
    tick(state, nowMs);
  }
  t.is(state.role, 'leader');
  t.true(state.commitIndex < 3);
  t.is(leaderSilentMs(state, nowMs), Number.POSITIVE_INFINITY);
  step(state, { nowMs, random: 0.5 }, { kind: 'synced', sequence: state.persistSequence });
  t.is(state.commitIndex, 3);
  t.is(leaderSilentMs(state, nowMs), 0);
});

test('a replica without a message from a leader since its start reports no leader contact', (t) => {
  const state = createReplica('a/1', durableState(['a/1', 'b/1', 'c/1']), sampleOptions, 0);
  t.is(leaderSilentMs(state, 100), Number.POSITIVE_INFINITY);
});
