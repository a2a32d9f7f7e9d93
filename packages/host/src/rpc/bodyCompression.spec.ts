import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { gzipSync } from 'node:zlib';

import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';
import { createTRPCClient } from '@trpc/client';
import test, { type ExecutionContext } from 'ava';
import { ok } from 'neverthrow';
import { Agent, request } from 'undici';
import { z } from 'zod';

import type { AppRouter } from './appRouter.js';
import { decompressBody } from './bodyCompression.js';
import { createInternalServer } from './internalListener.js';
import { createRequestLink } from './requestLink.js';

const echoRouter = rpcRouter({
  membership: rpcRouter({
    deliver: rpcProcedure.input(z.unknown()).mutation(({ input }) => input),
  }),
});

/** Records of a page of the membership, which repeat the names of fields and zones. */
const page = Array.from({ length: 200 }, (_, index) => ({
  hostId: `host-10-1-0-${index}`,
  availabilityZone: 'lagos-ikeja',
  state: 'alive',
  internal: { address: `10.1.0.${index}`, port: 7720 },
}));

/** Starts an echoing host; returns its origin and the bytes that its connections read. */
async function startHost(t: ExecutionContext) {
  const server = createInternalServer({
    router: echoRouter as unknown as AppRouter,
    auth: { sign: () => ({}), authenticate: () => ok('sender') },
    onKeyRefused: () => undefined,
    timeline: { readClock: () => ({ wallMs: 0, counter: 0 }), observeClock: () => undefined },
    maxHeadBytes: 8192,
    forwardedCalls: () => () => undefined,
  });
  const traffic = { bytes: 0 };
  server.on('connection', (socket) => {
    socket.on('close', () => {
      traffic.bytes += socket.bytesRead + socket.bytesWritten;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return { origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, server, traffic };
}

function createClient(dispatcher: Agent, origin: string) {
  const link = createRequestLink({
    dispatcher,
    origin,
    toHostId: 'a-host',
    sign: () => ({}),
    readClock: () => '',
    observeClock: () => undefined,
  });
  const client = createTRPCClient<AppRouter>({ links: [link] });
  return (message: unknown): Promise<unknown> => client.membership.deliver.mutate(message as never);
}

test('long bodies between hosts are compressed both ways, and arrive as they were sent', async (t) => {
  const { origin, server, traffic } = await startHost(t);
  const dispatcher = new Agent();
  const deliver = createClient(dispatcher, origin);
  const exchanges = 10;
  for (let index = 0; index < exchanges; index += 1) {
    t.deepEqual(await deliver(page), page);
  }
  await dispatcher.close();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const plainBytes = 2 * exchanges * JSON.stringify(page).length;
  t.true(traffic.bytes < plainBytes / 4, `${traffic.bytes} of ${plainBytes} bytes`);
});

test('a host of an earlier version, which refuses compressed bodies, gets plain ones', async (t) => {
  const codings: (string | undefined)[] = [];
  const server = createServer((incoming, response) => {
    codings.push(incoming.headers['content-encoding']);
    incoming.resume();
    incoming.on('end', () => {
      if (incoming.headers['content-encoding'] === undefined) {
        response.end(JSON.stringify({ result: { data: 'taken' } }));
      } else response.writeHead(401).end(JSON.stringify({ failure: { code: 'BL6001' } }));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const dispatcher = new Agent();
  t.teardown(async () => {
    await dispatcher.destroy();
    server.close();
  });
  const deliver = createClient(
    dispatcher,
    `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  t.is(await deliver(page), 'taken');
  t.is(await deliver(page), 'taken');
  t.deepEqual(codings, ['gzip', undefined, undefined]);
});

test('a host that does not ask for compressed answers gets plain ones', async (t) => {
  const { origin } = await startHost(t);
  const dispatcher = new Agent();
  t.teardown(() => dispatcher.destroy());
  const answer = await request(`${origin}/rpc/membership.deliver`, {
    dispatcher,
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(page),
  });
  t.is(answer.headers['content-encoding'], undefined);
  t.deepEqual(await answer.body.json(), { result: { data: page } });
});

test('a compressed body that is damaged or too large is refused, and nothing else ends', async (t) => {
  t.is(decompressBody(gzipSync('x'.repeat(5000)), 1000)._unsafeUnwrapErr().code, 'BL3007');
  const { origin } = await startHost(t);
  const dispatcher = new Agent();
  t.teardown(() => dispatcher.destroy());
  const damaged = gzipSync(JSON.stringify(page)).subarray(0, 100);
  const answer = await request(`${origin}/rpc/membership.deliver`, {
    dispatcher,
    method: 'POST',
    headers: { 'content-type': 'application/json', 'content-encoding': 'gzip' },
    body: damaged,
  });
  t.is(answer.statusCode, 413);
  await answer.body.dump();
  t.deepEqual(await createClient(dispatcher, origin)(page), page);
});
