import { setTimeout as delay } from 'node:timers/promises';

import { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import test from 'ava';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import { ResultAsync } from 'neverthrow';

import { createDocumentHolder } from '../runtime/documentHolder.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { Poll } from './documentsSchema.js';
import { DocumentsTask } from './documentsTask.js';

const pollMs = 20;

/** Host that polls one source; its document is persisted when the test completes the syncs. */
class PollingHost {
  readonly polls: Poll[] = [];

  readonly document = createDocumentHolder();

  readonly task: DocumentsTask;

  private pendingSyncs: (() => void)[] = [];

  private update: unknown = {
    version: 1,
    shiftRevision: 0,
    sinceVersion: 0,
    sections: [],
    shiftSteps: [],
  };

  /**
   * @param answerDelayMs - time that an answer takes beyond the wait for a change
   * @param rpcTimeoutMs - time limit of requests between hosts
   */
  constructor(answerDelayMs = 0, rpcTimeoutMs = 1000) {
    const ignore = () => undefined;
    const self = { hostId: 'poller', incarnation: 7, state: 'alive', documentVersion: 0 };
    const sourceHost = { ...self, hostId: 'source', availabilityZone: 'z', region: 'r', roles: [] };
    const context = {
      settings: {
        hostId: 'poller',
        availabilityZone: 'z',
        region: 'r',
        roles: ['entry'],
        groups: [],
        peers: [],
        timing: { documentPollMs: pollMs, rpcTimeoutMs },
      },
      clock: { nowMs: () => performance.now(), wallMs: () => Date.now() },
      random: () => 0.5,
      record: ignore,
      log: { info: ignore, error: ignore },
      metrics: { gauge: ignore },
    };
    const mutate = async (poll: Poll) => {
      this.polls.push(poll);
      const { update } = this;
      this.update = null;
      if (update === null) await delay(answerDelayMs > 0 ? poll.waitMs : pollMs);
      await delay(answerDelayMs);
      return { update, silentMs: 0 };
    };
    const parts = {
      document: this.document,
      shiftSteps: { table: new ShiftTable(), changed: ignore },
      membership: { self: () => self, hosts: () => [sourceHost], find: () => sourceHost },
      peers: {
        request: (
          _hostId: string,
          send: (client: unknown, signal: unknown) => Promise<unknown>,
          timeoutMs: number,
        ) => {
          const timedOut = delay(timeoutMs, undefined, { ref: false }).then(() => {
            throw new Error(`no reply in ${timeoutMs} ms`);
          });
          const reply = send({ documents: { poll: { mutate } } }, undefined);
          return ResultAsync.fromPromise(Promise.race([reply, timedOut]), (error) =>
            failure('BL6003', String(error)),
          );
        },
      },
    };
    this.task = new DocumentsTask(
      context as unknown as HostContext,
      parts as unknown as HostParts,
      new ControlCopy(),
      () =>
        new Promise((resolve) => {
          this.pendingSyncs.push(resolve);
        }),
    );
  }

  sync(): void {
    for (const resolve of this.pendingSyncs) resolve();
  }

  async waitForPolls(count: number): Promise<void> {
    const untilMs = performance.now() + 20 * pollMs;
    while (this.polls.length < count && performance.now() < untilMs) {
      await delay(pollMs / 4);
    }
  }
}

/** Document version that a poll confirms to its source. */
function confirmedVersion(poll: Poll | undefined): number | undefined {
  return poll?.held.version;
}

test('a host confirms a document version only after the version is in force', async (t) => {
  const pollingHost = new PollingHost();
  const running = pollingHost.task.run();
  t.teardown(() => pollingHost.task.stop());
  await pollingHost.waitForPolls(3);
  t.deepEqual(
    pollingHost.polls.map(confirmedVersion).filter((version) => version !== 0),
    [],
    'not in force before it is persisted',
  );
  t.is(pollingHost.document.current(), undefined);
  pollingHost.sync();
  const pollCount = pollingHost.polls.length;
  await pollingHost.waitForPolls(pollCount + 1);
  t.is(pollingHost.document.current()?.version, 1);
  t.deepEqual(pollingHost.polls.at(-1)?.held, { incarnation: 7, version: 1, shiftRevision: 0 });
  pollingHost.task.stop();
  await running;
});

test('answers that all take longer than the time limit of a request keep a host in contact', async (t) => {
  const answerDelayMs = 200;
  const pollingHost = new PollingHost(answerDelayMs, 100);
  const running = pollingHost.task.run();
  await delay(6000);
  const silentMs = pollingHost.task.controlSilentMs();
  pollingHost.task.stop();
  await running;
  t.true(silentMs < 4000, `${silentMs} ms without contact`);
});
