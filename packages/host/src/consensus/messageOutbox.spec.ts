import type { ConsensusMessage } from '@buckthornlug/core/consensus/consensusTypes.js';
import test from 'ava';

import { createMessageOutbox } from './messageOutbox.js';

const kibibyte = 1024;

function append(index: number, dataBytes: number): ConsensusMessage {
  const data = new Uint8Array(dataBytes);
  return {
    kind: 'append',
    from: 'a/1',
    to: 'b/1',
    term: 1,
    prevIndex: index - 1,
    prevTerm: 1,
    entries: [{ index, term: 1, body: { kind: 'command', data } }],
    commitIndex: 0,
    round: 1,
    sentAtMs: 0,
  };
}

/** Numbers of messages in the batches to a host whose first requests are not answered until all messages wait. */
async function batchesOf(messages: readonly ConsensusMessage[]): Promise<number[]> {
  const batches: number[] = [];
  let answer: () => void = () => undefined;
  const answered = new Promise<void>((resolve) => {
    answer = resolve;
  });
  const outbox = createMessageOutbox(
    (_hostId, batch) => {
      batches.push(batch.length);
      return answered;
    },
    () => false,
  );
  for (const message of messages) {
    outbox.post(message);
    await Promise.resolve();
  }
  answer();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  outbox.close();
  return batches;
}

// Guards against requests of hundreds of megabytes to a host that answered none for a while.
test('messages that wait for a host go in batches of a limited size', async (t) => {
  const large = Array.from({ length: 20 }, (_, index) => append(index, 400 * kibibyte));
  const batches = await batchesOf(large);
  t.is(
    batches.reduce((sum, count) => sum + count, 0),
    20,
  );
  t.true(Math.max(...batches) <= 2, batches.join(' '));
  const small = Array.from({ length: 20 }, (_, index) => append(index, kibibyte));
  t.is(Math.max(...(await batchesOf(small))), 12);
  const huge = Array.from({ length: 10 }, (_, index) => append(index, 2048 * kibibyte));
  t.deepEqual(await batchesOf(huge), Array(10).fill(1));
});
