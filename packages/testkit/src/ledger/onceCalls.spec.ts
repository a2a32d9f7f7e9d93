import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { TestReply } from '../calls/callFleet.js';
import { startOnceCallFleet } from './onceCallFleet.js';

/** Refusals as not run that docs/ERRORS.md asks callers to send again: no room, or no quorum of the ledger. */
const resentResults: readonly string[] = ['BL3002', 'BL9001'];
const fleet = await startOnceCallFleet({ backendHosts: [0, 1, 2] });

test.after.always(fleet.stop);

/** Sends an order; again while it is refused as not run. */
function order(host: number, identity: string, body?: string) {
  const isOver = ({ result }: TestReply) => !resentResults.includes(result);
  return fleet.orderUntil(host, identity, isOver, body);
}

function executionsOf(identity: string): number {
  const counts = fleet.backends.map((backend) => backend.executions().get(identity) ?? 0);
  return counts.reduce((sum, count) => sum + count, 0);
}

test.before(async () => {
  for (let tries = 0; tries < 50; tries += 1) {
    const reply = await order(0, 'warm-up');
    if (reply.result === 'answered') return;
    await delay(100);
  }
  throw new Error('the hosts answer no order');
});

test('a resend through another host and region gets the same whole answer', async (t) => {
  const first = await order(0, 'order-1');
  t.is(first.result, 'answered');
  for (const host of [1, 2]) t.deepEqual(await order(host, 'order-1'), first);
  t.is(executionsOf('order-1'), 1);
});

test('resends through every host at once run the work once', async (t) => {
  const hosts = [0, 1, 2, 0, 1, 2];
  const replies = await Promise.all(hosts.map((host) => order(host, 'order-2')));
  for (const reply of replies) t.is(reply.result, 'answered');
  t.is(new Set(replies.map((reply) => reply.body)).size, 1);
  t.is(executionsOf('order-2'), 1);
});

test('another body under the same identity is refused', async (t) => {
  await order(0, 'order-3');
  const other = await order(2, 'order-3', 'two pallets');
  t.is(other.result, 'BL9004');
  t.is(executionsOf('order-3'), 1);
});
