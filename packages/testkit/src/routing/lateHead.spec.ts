import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { routedDocument, startRoutedFleet, type RoutedFleet } from './routedFleet.js';

/** Heads that arrive after their time limit. Guards against callers that are told "not run" of an order that runs. */

const headTimeoutMs = 300;
/** The time limit is checked every half second. */
const pastTimeoutMs = headTimeoutMs + 900;
const settledMs = 500;

const order = [
  'POST /orders/1 HTTP/1.1',
  'Host: one.example',
  'X-Request-Id: late',
  'Content-Length: 5',
  '',
  'order',
].join('\r\n');
const halfOfHead = order.length / 2;

let fleet: RoutedFleet;

test.beforeEach(async () => {
  fleet = await startRoutedFleet();
  const document = routedDocument(2);
  const limits = { ...document.limits, headTimeoutMs };
  (await fleet.control.parts.routingCommands?.replace({ ...document, limits }))?._unsafeUnwrap();
});

test.afterEach.always(() => fleet.stop());

/** Makes the process stand still, as a host without processor time does. */
function standStill(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
}

interface LateHead {
  readonly title: string;
  /** Sends the order in its own way. */
  readonly send: (write: (text: string) => void) => Promise<void>;
}

const cases: readonly LateHead[] = [
  {
    title: 'arrives whole after its time limit',
    send: async (write) => {
      await delay(pastTimeoutMs);
      write(order);
    },
  },
  {
    title: 'arrives in parts, the last one after its time limit',
    send: async (write) => {
      write(order.slice(0, halfOfHead));
      await delay(pastTimeoutMs);
      write(order.slice(halfOfHead));
    },
  },
];

/** Time for which an order to `/orders/slow` runs. */
const slowMs = pastTimeoutMs + settledMs;

async function sendLate(send: LateHead['send']) {
  const backend = await fleet.addBackend('b-1', ({ url }) => ({
    status: 200,
    delayMs: url === '/orders/slow' ? slowMs : 0,
  }));
  await delay(settledMs);
  const { address: host, port } = fleet.entry.context.settings.listen.callers;
  // The caller's bytes are under way when the refusal is written, so it goes on after the end.
  const socket = connect({ host, port, allowHalfOpen: true });
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  await delay(settledMs / 10);
  await send((text) => socket.write(text));
  await delay(settledMs);
  socket.destroy();
  const statuses = [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => status);
  return { statuses, runs: backend.requests.length };
}

for (const { title, send } of cases) {
  test.serial(`an order whose head ${title} does not run after its refusal`, async (t) => {
    t.deepEqual(await sendLate(send), { statuses: ['408'], runs: 0 });
  });
}

test.serial('an order that arrived while the host stood still is not refused', async (t) => {
  const result = await sendLate(async (write) => {
    write(order);
    standStill(pastTimeoutMs);
  });
  t.deepEqual(result, { statuses: ['200'], runs: 1 });
});

test.serial(
  'an order is not refused if its head is whole before the answer to an earlier one',
  async (t) => {
    const result = await sendLate(async (write) => {
      write(order.replace('/orders/1', '/orders/slow') + order.slice(0, halfOfHead));
      await delay(pastTimeoutMs);
      write(order.slice(halfOfHead));
      await delay(slowMs - pastTimeoutMs);
    });
    t.deepEqual(result, { statuses: ['200', '200'], runs: 2 });
  },
);
