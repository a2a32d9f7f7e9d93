import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { rm } from 'node:fs/promises';

const startTimeoutMs = 15_000;
const maxKeptOutput = 200_000;

/** Processes that were started and have not ended; none outlives the one that started them. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** What is started. */
export interface ManagedProgram {
  /** Arguments of Node.js: the program and its own arguments. */
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** Folder of its durable state, if any. */
  readonly dataFolder?: string;
  /** Writes the settings of the next start; `isFirst` until the process has run once. */
  readonly writeSettings: (isFirst: boolean) => Promise<void>;
  /** File that the log is appended to; dropped where absent. */
  readonly logPath?: string;
}

/** Resolves when a process takes requests or has ended. */
function waitForStart(child: ChildProcess): Promise<void> {
  let output = '';
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`no start:\n${output}`)), startTimeoutMs);
    const onOutput = (part: Buffer) => {
      if (output.length < maxKeptOutput) output += part.toString();
      if (!output.includes('event=hostStarted')) return;
      clearTimeout(timer);
      child.stdout?.off('data', onOutput);
      child.stdout?.resume();
      resolve();
    };
    child.stdout?.on('data', onOutput);
    child.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

/** A host as a process that can be stopped, killed, paused and started again. */
export class ManagedProcess {
  private child: ChildProcess | undefined;

  private isPaused = false;

  private isStopping = false;

  /** How often the process ended without having been asked to. */
  ownEnds = 0;

  /** Changes at each start, so that a planned restart can tell whether another came before it. */
  private starts = 0;

  /**
   * @param program - what is started
   */
  constructor(private readonly program: ManagedProgram) {}

  get isRunning(): boolean {
    return this.child !== undefined && !this.isPaused;
  }

  get startCount(): number {
    return this.starts;
  }

  /** Starts the process and waits until it takes requests. */
  async start(): Promise<void> {
    if (this.child !== undefined) return;
    const { args, environment, writeSettings, logPath } = this.program;
    await writeSettings(this.starts === 0);
    this.starts += 1;
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'ignore'],
      env: { ...process.env, ...environment },
    });
    this.child = child;
    running.add(child);
    child.once('close', () => {
      running.delete(child);
      if (this.child !== child) return;
      this.child = undefined;
      if (!this.isStopping) this.ownEnds += 1;
    });
    if (logPath !== undefined) child.stdout.pipe(createWriteStream(logPath, { flags: 'a' }));
    await waitForStart(child);
  }

  /** SIGTERM; resolves when the process has ended, which SIGKILL sees to after the grace period. */
  async stop(graceMs: number): Promise<void> {
    const { child } = this;
    if (child === undefined) return;
    this.resume();
    const closed = once(child, 'close');
    this.isStopping = true;
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), graceMs);
    await closed;
    clearTimeout(timer);
    this.isStopping = false;
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
    const { dataFolder } = this.program;
    if (dataFolder !== undefined) await rm(dataFolder, { recursive: true, force: true });
  }

  /** SIGHUP: the settings may have changed. */
  hangUp(): void {
    if (this.isRunning) this.child?.kill('SIGHUP');
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
