interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
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
  private events: ScheduledEvent[] = [];

  private sequence = 0;

  private timeMs = 0;

  get nowMs(): number {
    return this.timeMs;
  }

  schedule(delayMs: number, run: () => void): void {
    this.sequence += 1;
    this.events.push({ atMs: this.timeMs + delayMs, sequence: this.sequence, run });
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
    let first: ScheduledEvent | undefined;
    for (const event of this.events) {
      const isEarlier =
        first === undefined ||
        event.atMs < first.atMs ||
        (event.atMs === first.atMs && event.sequence < first.sequence);
      if (isEarlier) first = event;
    }
    if (first === undefined || first.atMs > untilMs) return undefined;
    const taken = first;
    this.events = this.events.filter((event) => event !== taken);
    return taken;
  }
}
