import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { fileURLToPath } from 'node:url';

import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { FakeBackendOptions } from '../fakes/fakeBackendTypes.js';

const programPath = fileURLToPath(new URL('./benchHostMain.js', import.meta.url));
const backendProgramPath = fileURLToPath(new URL('../fakes/fakeBackendMain.js', import.meta.url));

/** A host process of a bench. */
export interface BenchHost {
  /** Processor time used so far, in milliseconds. */
  readonly cpuMs: () => Promise<number>;
  /** Ends the process at once. */
  readonly stop: () => Promise<void>;
  /** Planned stop by SIGTERM; resolves to the exit status. */
  readonly stopAsPlanned: () => Promise<number | null>;
}

async function endProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = once(child, 'exit');
  child.kill('SIGKILL');
  await ended;
}

/**
 * Starts a host process with a document in force.
 *
 * @param settings - settings of the host
 * @param document - document in force from the start
 */
export async function startBenchHost(
  settings: Settings,
  document: SteeringDocument,
): Promise<BenchHost> {
  const folder = await mkdtemp(`${tmpdir()}/buckthornlug-bench-`);
  const path = `${folder}/host.json`;
  await writeFile(path, JSON.stringify({ settings, document }));
  const child = fork(programPath, [path], { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] });
  await once(child, 'message');
  return {
    cpuMs: async () => {
      const reply = once(child, 'message');
      child.send('cpu');
      const [message] = (await reply) as [{ cpuUs: number }];
      return message.cpuUs / 1000;
    },
    stop: async () => {
      await endProcess(child);
      await rm(folder, { recursive: true });
    },
    stopAsPlanned: async () => {
      const ended = once(child, 'exit');
      child.kill('SIGTERM');
      const [status] = (await ended) as [number | null];
      return status;
    },
  };
}

/** A fake backend server that runs as a process. */
export interface BackendProcess {
  /** Says that it leaves, ends its calls, and stops. */
  readonly leave: () => Promise<void>;
  readonly kill: () => Promise<void>;
}

/**
 * Starts a fake backend server as a process; resolves when it takes calls.
 *
 * @param options - settings of the fake backend server
 */
export async function startBackendProcess(options: FakeBackendOptions): Promise<BackendProcess> {
  const child = fork(backendProgramPath, [JSON.stringify(options)], {
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
  });
  if (child.stdout !== null) await once(child.stdout, 'data');
  return {
    kill: () => endProcess(child),
    leave: async () => {
      const ended = once(child, 'exit');
      child.kill('SIGTERM');
      await ended;
    },
  };
}
