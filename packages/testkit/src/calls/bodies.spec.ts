import test from 'ava';
import { request } from 'undici';

import { createTestDocument, inForce, testHostName } from '../fakes/testDocument.js';
import { startCallFleet, until } from './callFleet.js';
import { openRaw } from './rawConnection.js';

const largeBytes = 4 * 1024 * 1024;
const heldBytes = 60_000;
const timeLimitMs = 1000;

const fleet = await startCallFleet({
  hosts: [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' }],
  overrides: { limits: { maxBufferedBytes: 100_000, idleBodyTimeoutMs: 5000 } },
  document: inForce(createTestDocument({ timeLimitMs })),
  backendHosts: [0],
  slots: 8,
});
const { callers } = fleet.settings[0]!.listen;

test.after.always(() => fleet.stop());

function pauseOnce(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function head(path: string, lengthBytes: number): string {
  return `PUT ${path} HTTP/1.1\r\nHost: ${testHostName}\r\nContent-Length: ${lengthBytes}\r\n\r\n`;
}

test.serial('a body larger than what is kept arrives whole', async (t) => {
  const reply = await fleet.call(0, '/stock', { method: 'PUT', body: Buffer.alloc(largeBytes) });
  t.is(reply.result, 'answered');
  t.like(JSON.parse(reply.body), { bodyBytes: largeBytes });
});

test.serial('an answer larger than any buffer arrives whole at a caller that pauses', async (t) => {
  fleet.backends[0]!.behave({ answerBytes: largeBytes });
  const reply = await request(`http://${callers.address}:${callers.port}/catalogue`, {
    headers: { host: testHostName },
  });
  let receivedBytes = 0;
  for await (const chunk of reply.body) {
    if (receivedBytes === 0) await pauseOnce();
    receivedBytes += (chunk as Buffer).length;
  }
  t.is(receivedBytes, largeBytes);
  fleet.backends[0]!.behave({ answerBytes: 64 });
});

test.serial('a body that drips in beyond the time limit of its call is refused', async (t) => {
  const connection = openRaw(callers);
  connection.socket.write(head('/stock', heldBytes));
  const drip = setInterval(() => connection.socket.write('x'), 50);
  const answer = await connection.received;
  clearInterval(drip);
  t.regex(answer, /^HTTP\/1.1 408 /);
  t.regex(answer, /x-buckthornlug-code: BL3009/i);
});

test.serial('bodies beyond the memory for them are refused until it is given back', async (t) => {
  const holding = openRaw(callers);
  holding.socket.write(head('/stock', heldBytes));
  holding.socket.write('x');
  const send = () => fleet.call(0, '/stock', { method: 'PUT', body: Buffer.alloc(heldBytes - 1) });
  const callsFeature = fleet.hosts[0]!.parts.running.find(({ name }) => name === 'calls');
  await until(() => callsFeature?.status?.().callsInFlight === 1);
  const refused = await send();
  t.like(refused, { result: 'BL3002', execution: 'notRun' });
  holding.socket.destroy();
  await holding.received;
  await until(() => callsFeature?.status?.().callsInFlight === 0);
  const taken = await send();
  t.is(taken.result, 'answered');
});

test.serial('an answer to a caller of HTTP/1.0 that is cut off ends with a reset', async (t) => {
  fleet.backends[0]!.behave({ answerFault: 'cutsChunked' });
  const connection = openRaw(callers);
  const failed = new Promise<string>((resolve) => {
    connection.socket.once('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
    connection.socket.once('end', () => resolve('clean end'));
  });
  connection.socket.write(`GET /catalogue HTTP/1.0\r\nHost: ${testHostName}\r\n\r\n`);
  t.is(await failed, 'ECONNRESET');
  fleet.backends[0]!.behave({ answerFault: 'none' });
});
