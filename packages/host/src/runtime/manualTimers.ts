import type { SetTimer } from './timers.js';

interface PendingTimer {
  readonly run: () => void;
  readonly atMs: number;
}

/** Time and timers that a test moves on. */
export class ManualTimers {
  nowMs = 0;

  private pending: PendingTimer[] = [];

  readonly setTimer: SetTimer = (run, afterMs) => {
    const timer = { run, atMs: this.nowMs + afterMs };
    this.pending.push(timer);
    return () => {
      this.pending = this.pending.filter((other) => other !== timer);
    };
  };

  get pendingCount(): number {
    return this.pending.length;
  }

  /** Runs the timers that end within a time; promises settle after each of them. */
  async pass(durationMs: number): Promise<void> {
    const endsAtMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.earliest();
      if (next === undefined || next.atMs > endsAtMs) break;
      this.pending = this.pending.filter((timer) => timer !== next);
      this.nowMs = next.atMs;
      next.run();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.nowMs = endsAtMs;
  }

  private earliest(): PendingTimer | undefined {
    const [first, ...others] = this.pending;
    let earliest = first;
    for (const timer of others) {
      if (earliest === undefined || timer.atMs < earliest.atMs) earliest = timer;
    }
    return earliest;
  }
}
