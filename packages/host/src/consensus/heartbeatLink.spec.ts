import type {
  AppendMessage,
  ConsensusMessage,
} from '@buckthornlug/core/consensus/consensusTypes.js';
import test from 'ava';

import { HeartbeatLink, type HeartbeatBatch } from './heartbeatLink.js';

const heartbeat: AppendMessage = {
  kind: 'append',
  from: 'h1/a',
  to: 'h2/b',
  term: 3,
  prevIndex: 7,
  prevTerm: 3,
  entries: [],
  commitIndex: 7,
  round: 12,
  sentAtMs: 345.5,
};
const withEntry: ConsensusMessage = {
  ...heartbeat,
  entries: [{ index: 8, term: 3, body: { kind: 'noop' } }],
};

/** Two hosts whose datagrams the test delivers. */
function createPair() {
  const time = { nowMs: 0 };
  const clock = { nowMs: () => time.nowMs, wallMs: () => 1_000_000 + time.nowMs };
  const create = (hostId: string) => {
    const sent: string[] = [];
    const received: HeartbeatBatch[] = [];
    let receiver: (content: string) => void = () => undefined;
    const link = new HeartbeatLink({
      hostId,
      incarnation: 1,
      datagrams: {
        send: (_endpoint, _channel, content) => sent.push(content) > 0,
        receive: (_channel, listener) => {
          receiver = listener;
        },
      },
      addressOf: () => ({ address: '127.0.0.1', port: 7002 }),
      clock,
      onBatch: (batch) => received.push(batch),
    });
    return { link, sent, received, receive: (content: string) => receiver(content) };
  };
  return { time, first: create('h1'), second: create('h2') };
}

test('heartbeats are sent as datagrams, and messages with entries are not', (t) => {
  const { first, second } = createPair();
  t.true(first.link.send('h2', 'control', 'f1', [heartbeat]));
  t.false(first.link.send('h2', 'control', 'f1', [heartbeat, withEntry]));
  second.receive(first.sent[0] ?? '');
  t.deepEqual(second.received, [
    { fromHostId: 'h1', groupId: 'control', formationId: 'f1', messages: [heartbeat] },
  ]);
});

const refusals: { fault: string; change: (content: string) => string; afterMs?: number }[] = [
  { fault: 'a datagram received before', change: (content) => content },
  { fault: 'a datagram for another host', change: (content) => content.replace('"h2"', '"h3"') },
  {
    fault: 'a datagram recorded three minutes ago',
    change: (content) => content.replace('1.1', '1.9'),
    afterMs: 180_000,
  },
  { fault: 'content that is not JSON', change: () => '{' },
  {
    fault: 'messages that cannot be decoded',
    change: (content) => content.replace(/"messages":"[^"]*"/, '"messages":"AA"'),
  },
  { fault: 'content with missing fields', change: () => '{"from":"h1"}' },
];

for (const { fault, change, afterMs = 0 } of refusals) {
  test(`a receiver ignores ${fault}`, (t) => {
    const { time, first, second } = createPair();
    first.link.send('h2', 'control', 'f1', [heartbeat]);
    const content = first.sent[0] ?? '';
    second.receive(content);
    time.nowMs += afterMs;
    t.notThrows(() => second.receive(change(content)));
    t.is(second.received.length, 1);
  });
}

test('a host that answers no datagrams is sent procedure calls after two, and a datagram again later', (t) => {
  const { time, first, second } = createPair();
  const send = () => first.link.send('h2', 'control', 'f1', [heartbeat]);
  t.deepEqual([send(), send(), send()], [true, true, false]);
  time.nowMs += 5000;
  t.deepEqual([send(), send()], [true, false]);
  second.link.send('h1', 'control', 'f1', [{ ...heartbeat, from: 'h2/b', to: 'h1/a' }]);
  first.receive(second.sent[0] ?? '');
  t.deepEqual([send(), send(), send()], [true, true, false]);
});
