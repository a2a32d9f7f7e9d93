import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { rm, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

const programPath = fileURLToPath(new URL('../../../host/dist/main.js', import.meta.url));
const startTimeoutMs = 15_000;
const maxKeptOutput = 10_000;

/** Resolves when a process takes requests or has ended. */
function waitForStart(child: ChildProcess): Promise<void> {
  let output = '';
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`no start:\n${output}`)), startTimeoutMs);
    child.stdout?.on('data', (part: Buffer) => {
      if (output.length < maxKeptOutput) output += part.toString();
      if (!output.includes('event=hostStarted')) return;
      clearTimeout(timer);
      resolve();
    });
    child.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

/** A host as a process that can be killed, paused and started again. */
export class OnceHostProcess {
  private child: ChildProcess | undefined;

  private isPaused = false;

  /** Changes at each start, so that a planned restart can tell whether another came before it. */
  private starts = 0;

  constructor(
    readonly settings: Settings,
    private readonly settingsPath: string,
  ) {}

  get isRunning(): boolean {
    return this.child !== undefined && !this.isPaused;
  }

  get startCount(): number {
    return this.starts;
  }

  /** Starts the process and waits until it takes requests. */
  async start(): Promise<void> {
    if (this.child !== undefined) return;
    this.starts += 1;
    await writeFile(this.settingsPath, JSON.stringify({ ...this.settings, logLevel: 'info' }));
    const child = spawn(process.execPath, [programPath, 'run', '--settings', this.settingsPath], {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    this.child = child;
    await waitForStart(child);
  }

  /** SIGKILL; resolves when the process has ended. */
  async kill(): Promise<void> {
    const { child } = this;
    if (child === undefined) return;
    this.child = undefined;
    this.isPaused = false;
    const closed = once(child, 'close');
    child.kill('SIGKILL');
    await closed;
  }

  /** Kills the process and empties its disk. */
  async loseDisk(): Promise<void> {
    await this.kill();
    const { dataFolder } = this.settings;
    if (dataFolder !== undefined) await rm(dataFolder, { recursive: true, force: true });
  }

  pause(): void {
    if (!this.isRunning) return;
    this.child?.kill('SIGSTOP');
    this.isPaused = true;
  }

  resume(): void {
    if (!this.isPaused) return;
    this.child?.kill('SIGCONT');
    this.isPaused = false;
  }
}
