/** Repeats work while there is some, and costs nothing otherwise. */
export interface Ticker {
  /** Starts the repetition where there is work. */
  readonly wake: () => void;
  readonly stop: () => void;
}

/**
 * Creates a ticker.
 *
 * @param intervalMs - time between two repetitions
 * @param hasWork - tells whether there is work
 * @param work - the work
 */
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
