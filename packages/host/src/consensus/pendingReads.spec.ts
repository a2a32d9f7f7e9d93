import test from 'ava';

import { PendingReads } from './pendingReads.js';

const clock = { nowMs: () => 0, wallMs: () => 0 };
const timeoutMs = 1;

/** Read IDs of one process of a replica. */
async function readIdsOfProcess(random: () => number): Promise<number[]> {
  const readIds: number[] = [];
  const reads = new PendingReads(clock, random, (readId) => {
    readIds.push(readId);
    reads.end(readId, readIds.length > 2);
  });
  await reads.awaitBarrier(timeoutMs);
  return readIds;
}

// Guards against an older document read back after a restart: the confirmation of an earlier read came late.
test('a read that was confirmed for the former process of a replica confirms none of the new one', async (t) => {
  const former = await readIdsOfProcess(() => 0.25);
  const restarted = await readIdsOfProcess(() => 0.75);
  t.is(new Set([...former, ...restarted]).size, former.length + restarted.length);
});
