import type { DurableState } from '@buckthornlug/core/consensus/consensusTypes.js';
import { step } from '@buckthornlug/core/consensus/replica.js';
import { logBytes } from '@buckthornlug/core/consensus/replicaLog.js';
import { createReplica } from '@buckthornlug/core/consensus/replicaState.js';
import test from 'ava';

import { createConsensusOptions } from './consensusOptions.js';

const mebibyte = 1024 * 1024;
/** Memory of the control part of a host, as CONTRIBUTING states it. */
const controlMemoryBytes = 64 * mebibyte;

const durable: DurableState = {
  hardState: { term: 0, votedFor: null },
  snapshot: {
    index: 0,
    term: 0,
    members: { voters: ['a/1'], learners: [] },
    data: new Uint8Array(0),
  },
  entries: [],
};

function createLeader() {
  const state = createReplica('a/1', durable, createConsensusOptions(1000, 100), 0);
  const at = { nowMs: 10_000, random: 0.5 };
  const sync = () => step(state, at, { kind: 'synced', sequence: state.persistSequence });
  step(state, { ...at, nowMs: 1 }, { kind: 'tick' });
  step(state, at, { kind: 'tick' });
  sync();
  const propose = (proposalId: number, data: Uint8Array) =>
    step(state, at, { kind: 'propose', proposals: [{ proposalId, data }] });
  const compact = (data: Uint8Array) =>
    step(state, at, { kind: 'compact', index: state.commitIndex, data });
  return { state, sync, propose, compact };
}

// Guards against control hosts that are ended for memory while a document of thousands of routes changes.
test('documents of megabytes that follow each other do not pile up in the log', (t) => {
  const { state, sync, propose, compact } = createLeader();
  t.is(state.role, 'leader');
  const data = new Uint8Array(mebibyte);
  for (let proposalId = 1; proposalId <= 100; proposalId += 1) {
    propose(proposalId, data);
    sync();
    compact(data);
    sync();
  }
  const retainedBytes = logBytes(state.log) + state.log.snapshot.data.byteLength;
  t.true(retainedBytes < controlMemoryBytes, `${retainedBytes} bytes`);
});

// Guards against a leader without a quorum that is ended for memory by the documents that it cannot commit.
test('documents of megabytes that cannot be committed are refused before they fill the memory', (t) => {
  const { state, propose } = createLeader();
  const data = new Uint8Array(mebibyte);
  let refused = 0;
  for (let proposalId = 1; proposalId <= 100; proposalId += 1) {
    refused += propose(proposalId, data).filter(({ kind }) => kind === 'refused').length;
  }
  t.true(refused > 0 && refused < 100);
  t.true(logBytes(state.log) < controlMemoryBytes, `${logBytes(state.log)} bytes`);
});
