interface ScheduledEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Lets every promise that is ready go on. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** A time that moves from event to event, so that a test of minutes takes milliseconds. */
export class VirtualTime {
  /** The next event last. */
  private readonly events: ScheduledEvent[] = [];

  private timeMs = 0;

  get nowMs(): number {
    return this.timeMs;
  }

  schedule(delayMs: number, run: () => void): void {
    const event = { atMs: this.timeMs + delayMs, run };
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.events[middle]!.atMs > event.atMs) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }

  /** Runs events until none is left or the given time has come. */
  async runUntil(untilMs: number): Promise<void> {
    for (;;) {
      await settlePromises();
      const next = this.takeNext(untilMs);
      if (next === undefined) break;
      this.timeMs = next.atMs;
      next.run();
    }
    this.timeMs = Math.max(this.timeMs, untilMs);
  }

  private takeNext(untilMs: number): ScheduledEvent | undefined {
    const next = this.events.at(-1);
    return next === undefined || next.atMs > untilMs ? undefined : this.events.pop();
  }
}
