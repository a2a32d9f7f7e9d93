import { randomInt } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { openDatagrams, type Datagrams } from './datagrams.js';

const keys = [{ id: 'test', secret: 'a secret of the datagram test' }];
const datagramCount = 50;
const waitLimitMs = 5000;

async function open(address: string, port: number): Promise<Datagrams> {
  const opened = await openDatagrams({
    endpoint: { address, port },
    keys,
    onKeyRefused: () => undefined,
  });
  if (opened.isErr()) throw new Error(opened.error.detail);
  return opened.value;
}

test('datagrams sent before the socket is closed are delivered', async (t) => {
  const port = randomInt(20_000, 30_000);
  const sender = await open('127.0.0.1', port);
  t.teardown(() => sender.close());
  const receiver = await open('127.0.0.2', port);
  t.teardown(() => receiver.close());
  const received: string[] = [];
  receiver.receive('membership', (content) => received.push(content));
  for (let number = 0; number < datagramCount; number += 1) {
    t.true(sender.send({ address: '127.0.0.2', port }, 'membership', String(number)));
  }
  await sender.close();
  t.false(sender.send({ address: '127.0.0.2', port }, 'membership', 'late'));
  const untilMs = performance.now() + waitLimitMs;
  while (received.length < datagramCount && performance.now() < untilMs) {
    await delay(10);
  }
  t.is(received.length, datagramCount);
});
