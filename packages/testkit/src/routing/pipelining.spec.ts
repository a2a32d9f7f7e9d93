import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { openRaw } from '../calls/rawConnection.js';
import { timeUntil } from '../time/timeUntil.js';
import {
  startRoutedFleet,
  type FakeAnswer,
  type RegisteredFake,
  type RoutedFleet,
} from './routedFleet.js';

/** Requests that callers send before an earlier one of the same connection is answered. */

const slowMs = 600;

let fleet: RoutedFleet;
let backend: RegisteredFake;
/** Answers by the last segment of the path; all others are quick. */
const answers: Readonly<Record<string, FakeAnswer>> = {
  slow: { status: 200, delayMs: slowMs, fields: { 'x-name': 'slow' } },
  quick: { status: 200, fields: { 'x-name': 'quick' } },
  long: { status: 200, bodyBytes: 2_000_000, fields: { 'x-name': 'long' } },
};

test.beforeEach(async () => {
  fleet = await startRoutedFleet();
  backend = await fleet.addBackend(
    'b-1',
    ({ url }) => answers[url?.split('/').at(-1) ?? ''] ?? { status: 404 },
  );
  await delay(500);
});

test.afterEach.always(() => fleet.stop());

function requestTo(name: string, id: string, connection = 'keep-alive'): string {
  return `GET /reads/${name} HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: ${id}\r\nConnection: ${connection}\r\n\r\n`;
}

function namesIn(received: string): readonly string[] {
  return [...received.matchAll(/^x-name: (\w+)/gim)].map(([, name]) => name ?? '');
}

function idsOf({ requests }: RegisteredFake): readonly string[] {
  return requests.map((fields) => String(fields['x-request-id']));
}

test.serial(
  'a request behind a slow one runs at the same time and is answered after it',
  async (t) => {
    const { socket, received } = openRaw(fleet.entry.context.settings.listen.callers);
    socket.write(requestTo('slow', 'a-1') + requestTo('quick', 'a-2'));
    t.true((await timeUntil(() => backend.requests.length === 2)) < slowMs / 2);
    socket.write(requestTo('quick', 'a-3', 'close'));
    t.deepEqual(namesIn(await received), ['slow', 'quick', 'quick']);
  },
);

test.serial('a caller that leaves cancels all of its requests', async (t) => {
  const { socket } = openRaw(fleet.entry.context.settings.listen.callers);
  socket.write(requestTo('slow', 'a-1') + requestTo('slow', 'a-2'));
  await timeUntil(() => backend.requests.length === 2);
  socket.destroy();
  t.true((await timeUntil(() => backend.cancelled.length === 2)) < slowMs / 2);
});

test.serial(
  'a malformed request is refused after the earlier ones have been answered',
  async (t) => {
    const { socket, received } = openRaw(fleet.entry.context.settings.listen.callers);
    socket.write(`${requestTo('slow', 'a-1')}no request at all\r\n\r\n`);
    const text = await received;
    t.deepEqual(namesIn(text), ['slow']);
    t.deepEqual(
      [...text.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => status),
      ['200', '400'],
    );
  },
);

test.serial(
  'what is sent behind an answer that closes the connection is not passed on',
  async (t) => {
    const { socket, received } = openRaw(fleet.entry.context.settings.listen.callers);
    socket.write(requestTo('slow', 'a-1', 'close') + requestTo('quick', 'a-2'));
    t.deepEqual(namesIn(await received), ['slow']);
    t.deepEqual(idsOf(backend), ['a-1']);
  },
);

test.serial('more requests on one connection than the limit are refused as not run', async (t) => {
  const { socket, received } = openRaw(fleet.entry.context.settings.listen.callers);
  const ids = Array.from({ length: 40 }, (_, index) => `a-${index}`);
  socket.write(ids.map((id) => requestTo('slow', id)).join(''));
  await delay(1000);
  socket.write(requestTo('quick', 'last', 'close'));
  const text = await received;
  t.is([...text.matchAll(/HTTP\/1.1 /g)].length, 41);
  const refused = [...text.matchAll(/too many unanswered calls/g)].length;
  t.is(refused, 8);
  t.true(idsOf(backend).length <= 33);
});

test.serial(
  'a planned stop answers every request of a connection before it closes it',
  async (t) => {
    const { socket, received } = openRaw(fleet.entry.context.settings.listen.callers);
    socket.write(requestTo('slow', 'a-1') + requestTo('slow', 'a-2'));
    await timeUntil(() => backend.requests.length === 2);
    const stopped = fleet.entry.stop();
    const text = await received;
    t.deepEqual(namesIn(text), ['slow', 'slow']);
    const closes = [...text.matchAll(/^connection: (\S+)/gim)].map(([, option]) => option);
    t.deepEqual(closes, ['keep-alive', 'close']);
    await stopped;
  },
);

test.serial('a planned stop does not cut an answer that is being streamed', async (t) => {
  const { socket, received } = openRaw(fleet.entry.context.settings.listen.callers);
  socket.write(requestTo('long', 'a-1'));
  await timeUntil(() => backend.requests.length === 1);
  await delay(300);
  await fleet.entry.stop();
  const text = await received;
  t.true(text.endsWith('0\r\n\r\n'));
  t.true(text.length > 2_000_000);
});
