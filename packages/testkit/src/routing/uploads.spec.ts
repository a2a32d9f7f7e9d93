import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { openRaw } from '../calls/rawConnection.js';
import { timeUntil } from '../time/timeUntil.js';
import {
  routedDocument,
  startRoutedFleet,
  type FakeAnswer,
  type RegisteredFake,
  type RoutedFleet,
} from './routedFleet.js';

/**
 * Bodies of more than 64 KiB, which are streamed to the backend server. Guards against a caller that leaves within
 * its upload and ends the process with the calls of others, and against bodies that are sent on without framing and
 * run as requests that nobody sent. An error that nobody handles fails the whole file.
 */

const bodyBytes = 300_000;
const maxBodyBytes = 1_000_000;
const settleMs = 500;
const shortMs = 50;
const longMs = 1500;

let fleet: RoutedFleet;
let backend: RegisteredFake;
/** Bytes of bodies that the backend server has received, by request ID. */
let receivedBytes: Map<string, number>;

function answerTo(incoming: IncomingMessage): FakeAnswer {
  const id = String(incoming.headers['x-request-id']);
  incoming.on('error', () => undefined);
  incoming.on('data', (chunk: Buffer) => {
    receivedBytes.set(id, (receivedBytes.get(id) ?? 0) + chunk.length);
  });
  if (incoming.url?.endsWith('/refused') === true) return { status: 503, notRun: true };
  return { status: 200, delayMs: incoming.url?.endsWith('/long') === true ? longMs : shortMs };
}

test.beforeEach(async () => {
  fleet = await startRoutedFleet();
  receivedBytes = new Map();
  const document = routedDocument(2);
  const limits = { ...document.limits, maxBodyBytes };
  (await fleet.control.parts.routingCommands?.replace({ ...document, limits }))?._unsafeUnwrap();
  backend = await fleet.addBackend('b-1', answerTo);
  await delay(settleMs);
});

test.afterEach.always(() => fleet.stop());

function open(method: string, path: string, framing: string) {
  const connection = openRaw(fleet.entry.context.settings.listen.callers);
  const head = [`${method} ${path} HTTP/1.1`, 'Host: one.example', 'X-Request-Id: upload', framing];
  connection.socket.write(`${head.join('\r\n')}\r\n\r\n`);
  return connection;
}

function writeChunk(socket: Socket, bytes: number): void {
  socket.write(`${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`);
}

test.serial('a caller that leaves within its upload ends no call of another', async (t) => {
  const other = fleet.call('/orders/long', { 'x-request-id': 'other' }, 'POST');
  const { socket } = open('PUT', '/orders/long', `Content-Length: ${bodyBytes}`);
  socket.write('a'.repeat(bodyBytes / 3));
  t.not(await timeUntil(() => receivedBytes.has('upload')), Infinity);
  socket.destroy();
  t.is((await other).status, 200);
  t.not(await timeUntil(() => backend.cancelled.includes('upload')), Infinity);
});

test.serial('an upload that is refused before it is in ends no call of another', async (t) => {
  const { socket, received } = open('PUT', '/orders/refused', `Content-Length: ${bodyBytes}`);
  socket.write('a'.repeat(bodyBytes / 3));
  t.regex(await received, /^HTTP\/1.1 503 /);
  await delay(fleet.entry.context.settings.limits.idleBodyTimeoutMs + settleMs);
  t.is((await fleet.call('/orders/1', { 'x-request-id': 'other' }, 'POST')).status, 200);
});

test.serial('a chunked body beyond the limit is refused and ends no call of another', async (t) => {
  const other = fleet.call('/orders/long', { 'x-request-id': 'other' }, 'POST');
  // The backend server answers after the body has exceeded its limit.
  const { socket, received } = open('PUT', '/orders/long', 'Transfer-Encoding: chunked');
  for (let sent = 0; sent <= maxBodyBytes; sent += 100_000) writeChunk(socket, 100_000);
  t.regex(await received, /^HTTP\/1.1 400 /);
  t.is((await other).status, 200);
});

/** Sends a chunked body and returns what the caller and the backend server have received. */
async function uploadInChunks(method: string) {
  const { socket, received } = open(method, '/reads/1', 'Transfer-Encoding: chunked');
  let answered = false;
  socket.once('data', () => {
    answered = true;
  });
  for (let sent = 0; sent < bodyBytes; sent += 50_000) writeChunk(socket, 50_000);
  socket.write('0\r\n\r\n');
  // A caller that ends its side before the answer has left.
  await timeUntil(() => answered && receivedBytes.get('upload') === bodyBytes, 1000);
  socket.end();
  const [status] = (await received).split('\r\n');
  return { status, bodies: [...receivedBytes], requests: backend.requests.length };
}

for (const method of ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']) {
  test.serial(`a chunked body of ${method} is passed on whole, in one request`, async (t) => {
    t.deepEqual(await uploadInChunks(method), {
      status: 'HTTP/1.1 200 OK',
      bodies: [['upload', bodyBytes]],
      requests: 1,
    });
  });
}
