import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { ResultAsync } from 'neverthrow';

import { createMetrics } from '../metrics/metrics.js';
import type { HostParts } from '../runtime/hostParts.js';
import { RoutingPoller } from './routingPoller.js';
import type { RoutingPoll } from './routingPollSchema.js';

const position = { routingVersion: 1, evacuationRevision: 0, registryRevision: 0 };
const update = { position, backends: [], silentMs: 0, wallMs: 0 };
const poll: RoutingPoll = { ...position, waitMs: 0 };

/** A poller of one source, with the procedures that it called. */
function createPoller(pollChanges: () => Promise<unknown>) {
  const called: string[] = [];
  const procedure = (name: string, answer: () => Promise<unknown>) => ({
    query: () => {
      called.push(name);
      return answer();
    },
  });
  const client = {
    routing: {
      poll: procedure('poll', () => Promise.resolve(update)),
      pollChanges: procedure('pollChanges', pollChanges),
    },
  };
  const request: HostParts['peers']['request'] = (_source, send) =>
    ResultAsync.fromPromise(send(client as never, new AbortController().signal), (error) =>
      failure('BL6003', String(error)),
    );
  const log = { warn: () => undefined };
  const context = { log, metrics: createMetrics() } as never;
  return { called, poller: new RoutingPoller({ context, peers: { request } }) };
}

test('a control host of an earlier version is polled for whole documents from the first refusal on', async (t) => {
  const { called, poller } = createPoller(() =>
    Promise.reject(new Error('No procedure found on path "routing.pollChanges"')),
  );
  t.true((await poller.poll('c1', poll, 100)).isOk());
  t.true((await poller.poll('c1', poll, 100)).isOk());
  t.deepEqual(called, ['pollChanges', 'poll', 'poll']);
});

test('a control host that does not answer is polled for changes again', async (t) => {
  const { called, poller } = createPoller(() => Promise.reject(new Error('no reply in 100 ms')));
  t.true((await poller.poll('c1', poll, 100)).isErr());
  t.true((await poller.poll('c1', poll, 100)).isErr());
  t.deepEqual(called, ['pollChanges', 'pollChanges']);
});
