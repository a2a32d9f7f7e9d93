/** Counts the calls of a host that are in flight, and allows waiting until there are none. */
export class CallsInFlight {
  private inFlight = 0;

  private readonly idleWaiters = new Set<() => void>();

  get count(): number {
    return this.inFlight;
  }

  begin(): void {
    this.inFlight += 1;
  }

  end(): void {
    this.inFlight -= 1;
    if (this.inFlight > 0) return;
    for (const resume of this.idleWaiters) resume();
  }

  /** Resolves when no call is in flight, or after `timeoutMs`. */
  whenIdle(timeoutMs: number): Promise<void> {
    if (this.inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.idleWaiters.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
