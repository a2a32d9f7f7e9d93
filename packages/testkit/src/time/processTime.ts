import type { VirtualTime } from './virtualTime.js';

/** The timers of one process, which stand still while it is paused and end when it is killed. */
export class ProcessTime {
  private state: 'running' | 'paused' | 'killed' = 'running';

  private held: (() => void)[] = [];

  constructor(private readonly time: VirtualTime) {}

  get nowMs(): number {
    return this.time.nowMs;
  }

  get isRunning(): boolean {
    return this.state === 'running';
  }

  schedule(delayMs: number, run: () => void): void {
    this.time.schedule(delayMs, () => {
      if (this.state === 'running') run();
      if (this.state === 'paused') this.held.push(run);
    });
  }

  pause(): void {
    if (this.state === 'running') this.state = 'paused';
  }

  resume(): void {
    if (this.state !== 'paused') return;
    this.state = 'running';
    const { held } = this;
    this.held = [];
    for (const run of held) this.time.schedule(0, run);
  }

  kill(): void {
    this.state = 'killed';
    this.held = [];
  }
}
