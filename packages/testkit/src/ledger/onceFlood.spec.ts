import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { TestReply } from '../calls/callFleet.js';
import { countEnds, isAnswered, startOnceCallFleet } from './onceCallFleet.js';

const floodCalls = 400;
const floodIntervalMs = 3;
/** Commits that each refused call may cost on average: a fifth of an intent and its end. */
const commitsPerRefusedCall = 0.4;

const fleet = await startOnceCallFleet({ backendHosts: [0], meanMs: 60 });
const { order, orderUntil, resend } = fleet;

test.after.always(fleet.stop);

/** Entries that the ledger has committed. */
function commits(): number {
  const indexes = fleet.hosts.map(
    ({ parts }) => parts.rpcHandlers.consensus?.describe({ groupId: 'ledger-a' }).commitIndex ?? 0,
  );
  return Math.max(...indexes);
}

test('a flood of once-only work costs commits only for the calls that the pool takes', async (t) => {
  const first = await orderUntil(0, 'order-first', isAnswered);
  t.is(first.result, 'answered');

  const before = commits();
  const startedAtMs = performance.now();
  const flood: Promise<TestReply>[] = [];
  const resends: Promise<TestReply>[] = [];
  for (let index = 0; index < floodCalls; index += 1) {
    flood.push(order(0, `order-${index}`));
    if (index > floodCalls / 2 && index % 20 === 0) resends.push(resend(0, 'order-first'));
    await delay(floodIntervalMs);
  }
  const replies = await Promise.all(flood);
  const elapsedMs = performance.now() - startedAtMs;
  const committed = commits() - before;
  for (const resent of await Promise.all(resends)) {
    t.deepEqual(resent, first, 'a resend gets its stored answer also from a full pool');
  }

  const executions = fleet.backends[0]!.executions();
  let answered = 0;
  for (const [index, { result, execution }] of replies.entries()) {
    const runs = executions.get(`order-${index}`) ?? 0;
    if (execution === 'notRun') t.is(runs, 0, 'a refusal as not run is true');
    if (result === 'answered') answered += 1;
  }
  const refused = replies.filter(({ execution }) => execution === 'notRun').length;
  const wasted = committed - 2 * answered;
  const ends = countEnds(replies);
  t.log({ answered, refused, committed, wasted, elapsedMs: Math.round(elapsedMs), ends });
  t.true(refused > floodCalls / 4, `the pool refuses: ${refused}`);
  t.true(wasted <= refused * commitsPerRefusedCall, `${wasted} commits, ${refused} refused calls`);
});
