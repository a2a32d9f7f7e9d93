import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdir, writeFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

const programPath = fileURLToPath(new URL('../../../host/dist/main.js', import.meta.url));
const startTimeoutMs = 15_000;
const maxKeptLines = 2000;

/** A host that runs as a process of its own, started by a test, a bench or the demo. */
export interface HostProcess {
  readonly settings: Settings;
  readonly processId: number;
  /** Last lines of the log, oldest first. */
  readonly logLines: readonly string[];
  /** Whether the process has ended. */
  readonly ended: () => boolean;
  /** Planned stop: SIGTERM; resolves to the exit status when the process has ended. */
  readonly stop: () => Promise<number | null>;
  /** SIGKILL; resolves when the process has ended. */
  readonly kill: () => Promise<void>;
  /** SIGSTOP: the process stands still with its sockets open. */
  readonly pause: () => void;
  /** SIGCONT. */
  readonly resume: () => void;
}

/** Options of a started host. */
export interface HostProcessOptions {
  /** Folder in which the settings file is written. */
  readonly workFolder: string;
  readonly onLogLine?: (line: string) => void;
}

function waitForLine(child: ChildProcess, lines: readonly string[], text: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const startedAtMs = performance.now();
    const timer = setInterval(() => {
      if (lines.some((line) => line.includes(text))) {
        clearInterval(timer);
        resolve();
        return;
      }
      const isLate = performance.now() - startedAtMs > startTimeoutMs;
      if (!isLate && child.exitCode === null && child.signalCode === null) return;
      clearInterval(timer);
      reject(new Error(`the host did not start:\n${lines.slice(-20).join('\n')}`));
    }, 10);
  });
}

function keepLines(child: ChildProcess, onLine: (line: string) => void): string[] {
  const lines: string[] = [];
  for (const stream of [child.stdout, child.stderr]) {
    if (stream === null) continue;
    createInterface({ input: stream }).on('line', (line) => {
      lines.push(line);
      if (lines.length > maxKeptLines) lines.shift();
      onLine(line);
    });
  }
  return lines;
}

/**
 * Starts the program `buckthornlug` with settings and waits until it takes requests.
 *
 * @param settings - settings of the host; the log level is set to info or lower
 * @param options - where the settings file goes and who reads the log
 */
export async function startHostProcess(
  settings: Settings,
  options: HostProcessOptions,
): Promise<HostProcess> {
  await mkdir(options.workFolder, { recursive: true });
  const settingsPath = `${options.workFolder}/${settings.hostId}.json`;
  const logLevel = settings.logLevel === 'debug' ? 'debug' : 'info';
  await writeFile(settingsPath, JSON.stringify({ ...settings, logLevel }, null, 2));
  const child = spawn(process.execPath, [programPath, 'run', '--settings', settingsPath], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const closed = once(child, 'close');
  const logLines = keepLines(child, options.onLogLine ?? (() => undefined));
  await waitForLine(child, logLines, 'event=hostStarted');
  const ended = () => child.exitCode !== null || child.signalCode !== null;
  const signal = (name: NodeJS.Signals) => {
    if (!ended()) child.kill(name);
  };
  return {
    settings,
    processId: child.pid ?? 0,
    logLines,
    ended,
    stop: async () => {
      signal('SIGTERM');
      await closed;
      return child.exitCode;
    },
    kill: async () => {
      signal('SIGKILL');
      await closed;
    },
    pause: () => signal('SIGSTOP'),
    resume: () => signal('SIGCONT'),
  };
}
