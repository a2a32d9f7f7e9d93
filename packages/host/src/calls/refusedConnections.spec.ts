import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { settingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test from 'ava';

import { createMetrics } from '../metrics/metrics.js';
import { createEntryServer } from './callersListener.js';
import { RefusedConnections } from './refusedConnections.js';

/** Connections that are refused, and whose callers go on. Guards against descriptors that are never freed. */

const headTimeoutMs = 100;
/** The time limit is checked every half second. */
const refusedMs = 900;
const lingerMs = 3000;
const bodyBytes = 100_000;
const head = `POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: ${bodyBytes}\r\n\r\n`;

const ignore = () => undefined;
const log = { debug: ignore, info: ignore, warn: ignore, error: ignore };

async function startServer() {
  const context = { log, metrics: createMetrics() };
  const limits = settingsSchema.shape.limits.parse({ headTimeoutMs });
  const handled: string[] = [];
  const server = createEntryServer(
    limits,
    new RefusedConnections(context, 'x-request-id'),
    (request, response) => {
      handled.push(request.url ?? '');
      response.end();
    },
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const countConnections = () =>
    new Promise<number>((resolve) => {
      server.getConnections((_error, count) => resolve(count));
    });
  return { server, port, handled, countConnections };
}

interface GoingOn {
  readonly how: string;
  readonly goOn: (socket: Socket) => void;
}

const cases: readonly GoingOn[] = [
  { how: 'sends nothing more', goOn: () => undefined },
  { how: 'sends a request', goOn: (socket) => socket.write(head + 'x'.repeat(bodyBytes)) },
  { how: 'stops within a body', goOn: (socket) => socket.write(head + 'x'.repeat(bodyBytes / 2)) },
];

for (const { how, goOn } of cases) {
  test(`a refused connection whose caller ${how} and does not close it is closed`, async (t) => {
    const { server, port, handled, countConnections } = await startServer();
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
    socket.on('error', () => undefined).resume();
    t.teardown(() => {
      socket.destroy();
      server.close();
    });
    await delay(refusedMs);
    goOn(socket);
    await delay(refusedMs);
    t.is(await countConnections(), 1);
    await delay(lingerMs);
    t.is(await countConnections(), 0);
    t.deepEqual(handled, []);
  });
}
