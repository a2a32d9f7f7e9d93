import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import type { BenchReply, BenchRequest } from './loadTypes.js';

const workerPath = fileURLToPath(new URL('./benchWorkerMain.js', import.meta.url));

/** A process that the bench started. */
export interface BenchProcess {
  readonly processId: number;
  /** Sends a request and waits for its reply. */
  readonly ask: (request: BenchRequest) => Promise<BenchReply>;
  readonly kill: () => Promise<void>;
}

/** Starts a process that carries out requests of the bench. */
export function startBenchProcess(): BenchProcess {
  const child = fork(workerPath, { serialization: 'advanced' });
  const closed = once(child, 'close');
  return {
    processId: child.pid ?? 0,
    ask: async (request) => {
      child.send(request);
      const ended = closed.then(() => {
        throw new Error(`the process of ${request.message} ended`);
      });
      const [reply] = (await Promise.race([once(child, 'message'), ended])) as [BenchReply];
      return reply;
    },
    kill: async () => {
      child.kill('SIGKILL');
      await closed;
    },
  };
}
