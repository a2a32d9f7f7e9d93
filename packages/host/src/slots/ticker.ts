/** Runs a task periodically while there is work; sets no timer otherwise. */
export interface Ticker {
  /** Starts the timer if there is work. */
  readonly wake: () => void;
  readonly stop: () => void;
}

/** Creates a ticker. */
export function createTicker(intervalMs: number, hasWork: () => boolean, work: () => void): Ticker {
  let timer: NodeJS.Timeout | undefined;
  const wake = () => {
    if (timer !== undefined || !hasWork()) return;
    timer = setTimeout(() => {
      timer = undefined;
      work();
      wake();
    }, intervalMs);
  };
  return { wake, stop: () => clearTimeout(timer) };
}
