import test from 'ava';

import type { ConsensusEffect, DurableState } from './consensusTypes.js';
import { step } from './replica.js';
import { createReplica } from './replicaState.js';
import { sampleOptions } from './sampleOptions.js';

/**
 * Probes of a replica whose log is unknown to the leader. Over a slow link, entries that came with
 * every heartbeat until the first reply made up most of what a joining replica was sent.
 */

const durable: DurableState = {
  hardState: { term: 1, votedFor: null },
  snapshot: {
    index: 1,
    term: 1,
    members: { voters: ['a/1'], learners: ['b/1'] },
    data: new Uint8Array(0),
  },
  entries: [{ index: 2, term: 1, body: { kind: 'command', data: new Uint8Array(5000) } }],
};

function appendsTo(effects: readonly ConsensusEffect[], to: string) {
  return effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'append' && effect.message.to === to
      ? [effect.message]
      : [],
  );
}

test('a probe that is repeated before its reply carries no entries', (t) => {
  const state = createReplica('a/1', durable, sampleOptions, 0);
  let nowMs = 0;
  const advance = (untilMs: number): ConsensusEffect[] => {
    const effects: ConsensusEffect[] = [];
    for (; nowMs < untilMs; nowMs += 50) {
      effects.push(...step(state, { nowMs, random: 0.5 }, { kind: 'tick' }));
      const synced = { kind: 'synced', sequence: state.persistSequence } as const;
      effects.push(...step(state, { nowMs, random: 0.5 }, synced));
    }
    return effects;
  };
  const first = appendsTo(advance(5000), 'b/1');
  t.is(state.role, 'leader');
  t.true(first.length > 10);
  t.is(first.filter(({ entries }) => entries.length > 0).length, 1);

  const refusal = {
    kind: 'appendReply' as const,
    from: 'b/1',
    to: 'a/1',
    term: state.term,
    success: false,
    matchIndex: 1,
    prevIndex: first[0]?.prevIndex ?? 0,
    round: 1,
    sentAtMs: 0,
  };
  const answered = step(state, { nowMs, random: 0.5 }, { kind: 'message', message: refusal });
  const second = [...appendsTo(answered, 'b/1'), ...appendsTo(advance(nowMs + 2000), 'b/1')];
  t.deepEqual(
    second.filter(({ entries }) => entries.length > 0).map(({ prevIndex }) => prevIndex),
    [1],
  );

  // The probe with entries was lost: an empty one is accepted, and the entries are sent again.
  const accepted = { ...refusal, success: true, matchIndex: 1, prevIndex: 1 };
  const third = step(state, { nowMs, random: 0.5 }, { kind: 'message', message: accepted });
  t.true((appendsTo(third, 'b/1')[0]?.entries.length ?? 0) >= 2);
});
