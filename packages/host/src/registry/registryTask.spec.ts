import { createControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';
import { verifySubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
import test, { type ExecutionContext } from 'ava';
import { okAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup, RoutingCommand } from '../submissions/controlGroup.js';
import { RegistryTask } from './registryTask.js';

const report: BackendReport = {
  backendId: 'b-1',
  bornAtMs: 100,
  sequence: 1,
  service: 'desk',
  availabilityZone: 'north-a',
  endpoint: { address: '127.0.0.1', port: 8080 },
  slots: 2,
  state: 'ready',
  coldForMs: 0,
};

/** A task whose commands wait to be committed. */
function createTask(t: ExecutionContext) {
  const machine = createControlMachine(verifySubmission);
  const commands: RoutingCommand[] = [];
  const control = {
    machine,
    isLeader: () => false,
    leaderId: () => undefined,
    stateAgeMs: () => 0,
    commit: (command: RoutingCommand) => {
      commands.push(command);
      return okAsync({ registryRevision: 0 });
    },
  } as unknown as ControlGroup;
  const log = { info: () => undefined, warn: () => undefined };
  const clock = { nowMs: () => 0, wallMs: () => 1000 };
  const context = { clock, log, metrics: { count: () => undefined } } as unknown as HostContext;
  const parts = {} as ConstructorParameters<typeof RegistryTask>[1];
  const task = new RegistryTask(context, parts, control, 1000);
  t.teardown(() => task.stop());
  return { task, machine, commands };
}

test('a departure that names no incarnation and is committed late removes no later one', async (t) => {
  const { task, machine, commands } = createTask(t);
  machine.apply({ type: 'noteBackend', report, atMs: 100 }, 1);
  (await task.removeBackend('b-1'))._unsafeUnwrap();
  machine.apply({ type: 'noteBackend', report: { ...report, bornAtMs: 200 }, atMs: 200 }, 2);
  for (const command of commands) machine.apply(command, 3);
  t.is(machine.registry.find('b-1')?.state, 'ready');
});

test('a departure that names no incarnation of an unknown backend server is refused', async (t) => {
  const { task, commands } = createTask(t);
  t.is((await task.removeBackend('b-1'))._unsafeUnwrapErr().code, 'BL5001');
  t.deepEqual(commands, []);
});

// Guards against a backend server that can never register again after one garbled departure.
test('a departure of a process that starts in the far future is refused', async (t) => {
  const { task, machine, commands } = createTask(t);
  machine.apply({ type: 'noteBackend', report, atMs: 100 }, 1);
  const left = await task.removeBackend('b-1', Number.MAX_SAFE_INTEGER);
  for (const command of commands) machine.apply(command, 2);
  machine.apply({ type: 'noteBackend', report: { ...report, bornAtMs: 200 }, atMs: 200 }, 3);
  t.is(machine.registry.find('b-1')?.state, 'ready');
  t.is(left._unsafeUnwrapErr().code, 'BL4001');
});
