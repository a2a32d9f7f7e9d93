import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import test from 'ava';

import { BackendAgent } from './backendConnections.js';
import { exchange, type ExchangePlan, type ExchangeResult } from './backendExchange.js';

const openEnded = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n';
const withLength = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 30\r\n\r\n';
const chunked =
  'HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n';
const part = 'x'.repeat(10);

/** How a backend server answers: the bytes it sends, then what it does with the connection. */
interface Scenario {
  readonly title: string;
  readonly bytes: string;
  readonly after: 'reset' | 'end' | 'keep';
  readonly end: ExchangeResult['end'];
}

const scenarios: readonly Scenario[] = [
  {
    title: 'a close-delimited answer',
    bytes: openEnded + part,
    after: 'end',
    end: 'answered',
  },
  {
    title: 'a close-delimited answer whose connection is reset',
    bytes: openEnded + part,
    after: 'reset',
    end: 'broken',
  },
  {
    title: 'an answer shorter than its Content-Length',
    bytes: withLength + part,
    after: 'end',
    end: 'broken',
  },
  {
    title: 'a chunked answer without its last chunk',
    bytes: `${chunked}a\r\n${part}\r\n`,
    after: 'end',
    end: 'broken',
  },
  {
    title: 'a complete chunked answer',
    bytes: `${chunked}a\r\n${part}\r\n0\r\n\r\n`,
    after: 'end',
    end: 'answered',
  },
  {
    title: 'data that is not HTTP',
    bytes: 'no answer at all\r\n\r\n',
    after: 'keep',
    end: 'broken',
  },
  {
    title: 'the answer to another request',
    bytes: withLength.replace('X-Id: 1', 'X-Id: 2') + part.repeat(3),
    after: 'keep',
    end: 'broken',
  },
  { title: 'a connection that ends without an answer', bytes: '', after: 'end', end: 'broken' },
];

function startServer(onConnection: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function createPlan(port: number, change: Partial<ExchangePlan> = {}): ExchangePlan {
  return {
    agent: new BackendAgent(),
    endpoint: { address: '127.0.0.1', port },
    method: 'GET',
    path: '/',
    fields: ['Host', 'one.example'],
    body: null,
    connectTimeoutMs: 1000,
    signal: new AbortController().signal,
    isAnswerToRequest: (fields) => fields[fields.indexOf('X-Id') + 1] === '1',
    nowMs: () => performance.now(),
    ...change,
  };
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

for (const { title, bytes, after, end } of scenarios) {
  test(`${title} ends the exchange as ${end}`, async (t) => {
    const server = await startServer((socket) => {
      socket.once('data', () => {
        socket.write(bytes, () => {
          if (after === 'reset') socket.resetAndDestroy();
          if (after === 'end') socket.end();
        });
      });
    });
    const { result } = await exchange(createPlan(portOf(server)));
    t.is(result.end, end);
    server.close();
  });
}

test('a request whose connection is refused counts as not sent', async (t) => {
  const server = await startServer(() => undefined);
  const port = portOf(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const { result } = await exchange(createPlan(port));
  t.is(result.end, 'notSent');
});

test('unrequested data closes an idle connection, so that no later request receives it', async (t) => {
  let connections = 0;
  const server = await startServer((socket) => {
    connections += 1;
    socket.on('data', () => {
      socket.write(withLength + part.repeat(3));
      setTimeout(() => socket.write(withLength + part.repeat(3)), 30);
    });
  });
  const plan = createPlan(portOf(server));
  t.is((await exchange(plan)).result.end, 'answered');
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const second = await exchange(plan);
  t.is(second.result.end, 'answered');
  t.is(connections, 2);
  plan.agent.destroy();
  server.close();
});
