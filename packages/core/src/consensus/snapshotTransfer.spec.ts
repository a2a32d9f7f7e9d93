import test from 'ava';

import type { ConsensusInput, DurableState, SnapshotChunk } from './consensusTypes.js';
import { step } from './replica.js';
import { createReplica } from './replicaState.js';
import { sampleOptions } from './sampleOptions.js';

const chunkBytes = sampleOptions.snapshotChunkBytes;
const chunks = 6;

const durable: DurableState = {
  hardState: { term: 1, votedFor: null },
  snapshot: {
    index: 5,
    term: 1,
    members: { voters: ['a/1'], learners: ['b/1'] },
    data: new Uint8Array(chunks * chunkBytes),
  },
  entries: [],
};

/** A leader that sends a snapshot to a new replica, and takes another one after each proposal. */
function createSender() {
  const state = createReplica('a/1', durable, sampleOptions, 0);
  let nowMs = 0;
  let proposalId = 0;
  const run = (input: ConsensusInput): SnapshotChunk[] =>
    step(state, { nowMs, random: 0.5 }, input).flatMap((effect) =>
      effect.kind === 'send' && effect.message.kind === 'snapshotChunk' ? [effect.message] : [],
    );
  const sync = () => run({ kind: 'synced', sequence: state.persistSequence });
  const advance = (ms: number): SnapshotChunk[] => {
    const sent: SnapshotChunk[] = [];
    const untilMs = nowMs + ms;
    for (; nowMs < untilMs; nowMs += 50) sent.push(...run({ kind: 'tick' }), ...sync());
    return sent;
  };
  return {
    advance,
    takeSnapshot: () => {
      proposalId += 1;
      const data = new Uint8Array(1);
      run({ kind: 'propose', proposals: [{ proposalId, data }] });
      sync();
      run({ kind: 'compact', index: state.commitIndex, data: durable.snapshot.data });
      sync();
      return state.log.snapshot.index;
    },
    acknowledge: ({ round, sentAtMs, snapshotIndex }: SnapshotChunk, nextOffset: number) =>
      run({
        kind: 'message',
        message: {
          kind: 'snapshotReply',
          from: 'b/1',
          to: 'a/1',
          term: state.term,
          snapshotIndex,
          nextOffset,
          round,
          sentAtMs,
        },
      }),
    refuseEntries: () =>
      run({
        kind: 'message',
        message: {
          kind: 'appendReply',
          from: 'b/1',
          to: 'a/1',
          term: state.term,
          success: false,
          matchIndex: 0,
          prevIndex: (state.leadership?.progress.get('b/1')?.nextIndex ?? 0) - 1,
          round: 1,
          sentAtMs: nowMs,
        },
      }),
  };
}

// Guards against a replica that never catches up while documents of megabytes change.
test('a snapshot is sent to its end while newer ones are taken', (t) => {
  const sender = createSender();
  sender.advance(5000);
  sender.takeSnapshot();
  let chunk = [...sender.refuseEntries(), ...sender.advance(200)].findLast(
    ({ data }) => data.byteLength > 0,
  );
  const offsets: number[] = [];
  for (let sent = 0; sent < chunks && chunk !== undefined; sent += 1) {
    offsets.push(chunk.offset / chunkBytes);
    sender.takeSnapshot();
    chunk = sender.acknowledge(chunk, chunk.offset + chunk.data.byteLength).at(-1);
  }
  t.deepEqual(offsets, [0, 1, 2, 3, 4, 5]);
});

test('a chunk that waits for its reply is not sent again with each heartbeat', (t) => {
  const sender = createSender();
  sender.advance(5000);
  sender.takeSnapshot();
  sender.refuseEntries();
  const sent = sender.advance(sampleOptions.electionTimeoutMs - 100);
  t.true(sent.length > 3);
  t.true(sent.filter(({ data }) => data.byteLength > 0).length <= 1);
  const again = sender.advance(sampleOptions.electionTimeoutMs);
  t.true(again.some(({ data }) => data.byteLength > 0));
});

test('a late reply does not begin a transfer anew, a restarted replica does', (t) => {
  const sender = createSender();
  sender.advance(5000);
  sender.takeSnapshot();
  const first = [...sender.refuseEntries(), ...sender.advance(200)][0] as SnapshotChunk;
  sender.advance(100);
  const second = sender.acknowledge(first, chunkBytes)[0];
  t.is(second?.offset, chunkBytes);
  t.deepEqual(sender.acknowledge(first, 0), []);
  sender.advance(100);
  const heartbeat = sender.advance(200).at(-1) as SnapshotChunk;
  t.is(sender.acknowledge(heartbeat, 0)[0]?.offset, 0);
});
