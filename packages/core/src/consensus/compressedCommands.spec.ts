import test from 'ava';

import type { AppendReply, DurableState } from './consensusTypes.js';
import { step } from './replica.js';
import { createReplica, doAllReadCompressed } from './replicaState.js';
import { sampleOptions } from './sampleOptions.js';

const durable: DurableState = {
  hardState: { term: 1, votedFor: null },
  snapshot: {
    index: 1,
    term: 1,
    members: { voters: ['a/1'], learners: ['b/1', 'c/1'] },
    data: new Uint8Array(0),
  },
  entries: [],
};

test('commands are compressed once every replica has said that it reads them', (t) => {
  const state = createReplica('a/1', durable, sampleOptions, 0);
  const at = { nowMs: 5000, random: 0.5 };
  t.false(doAllReadCompressed(state));
  step(state, { ...at, nowMs: 1 }, { kind: 'tick' });
  step(state, at, { kind: 'tick' });
  step(state, at, { kind: 'synced', sequence: state.persistSequence });
  t.is(state.role, 'leader');
  const reply = (from: string, origin: Pick<AppendReply, 'readsCompressed'>): void => {
    const numbers = { matchIndex: 1, prevIndex: 1, round: 1, sentAtMs: 0 };
    const common = { kind: 'appendReply', to: 'a/1', term: state.term, success: true } as const;
    step(state, at, { kind: 'message', message: { ...common, ...numbers, ...origin, from } });
  };
  reply('b/1', { readsCompressed: true });
  t.false(doAllReadCompressed(state));
  reply('c/1', {});
  t.false(doAllReadCompressed(state));
  reply('c/1', { readsCompressed: true });
  t.true(doAllReadCompressed(state));
  reply('b/1', {});
  t.false(doAllReadCompressed(state));
});
