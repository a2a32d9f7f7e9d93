import { setTimeout as delay } from 'node:timers/promises';

import { createControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';
import type { RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import test from 'ava';
import { okAsync, ResultAsync } from 'neverthrow';

import { createMetrics } from '../metrics/metrics.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup, RoutingCommand } from '../submissions/controlGroup.js';
import { createRoutingCommands } from './routingCommands.js';

const documentOf = (version: number): RoutingDocument => ({
  version,
  routes: [],
  services: [],
  limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 },
  source: `version ${version}`,
});

/** Commands of a control host whose commits are applied at once. */
function createCommands(reachQuorum: () => Promise<void> = () => Promise.resolve()) {
  const machine = createControlMachine(() => true);
  const committed: RoutingCommand[] = [];
  const control = {
    isMember: true,
    machine,
    readBarrier: () => okAsync(undefined),
    commit: (command: RoutingCommand) => {
      committed.push(command);
      const logIndex = committed.length;
      return ResultAsync.fromSafePromise(reachQuorum()).map(() => machine.apply(command, logIndex));
    },
  } as unknown as ControlGroup;
  const clock = { nowMs: () => 0, wallMs: () => 0 };
  const log = { info: () => undefined, warn: () => undefined };
  const context = { clock, log, metrics: createMetrics() } as unknown as HostContext;
  return {
    committed,
    routing: machine.routing,
    commands: createRoutingCommands(context, control, { baseOf: () => 0 }),
  };
}

// Guards against a control group that commits a document again for each resend, and acknowledges none of them in time.
test('a document that is in force is acknowledged without another commit', async (t) => {
  const { commands, committed, routing } = createCommands();
  (await commands.replace(documentOf(7)))._unsafeUnwrap();
  (await commands.replace(documentOf(7)))._unsafeUnwrap();
  (await commands.replace(documentOf(5)))._unsafeUnwrap();
  t.is(routing.version(), 7);
  t.is(committed.length, 1);
  (await commands.replace(documentOf(8)))._unsafeUnwrap();
  t.is(routing.version(), 8);
  t.is(committed.length, 2);
});

test('a document that is sent again while its commit is under way shares its outcome', async (t) => {
  const { commands, committed } = createCommands(() => delay(20));
  const results = await Promise.all([
    commands.replace(documentOf(7)),
    commands.replace(documentOf(7)),
    commands.replace({ ...documentOf(7), source: 'another text' }),
  ]);
  t.true(results.every((result) => result.isOk()));
  t.is(committed.length, 2);
});
