import type { HostContext } from './hostTypes.js';

/** Measures how late the event loop runs its timers, and with them everything else. */

const sampleIntervalMs = 100;
/** Delay from which on a sample is worth a log line. */
const loggedDelayMs = 100;

/** Observes the event loop of the process; returns a function that ends the observation. */
export function observeEventLoopDelay({
  clock,
  log,
  metrics,
}: Pick<HostContext, 'clock' | 'log' | 'metrics'>): () => void {
  let dueAtMs = clock.nowMs() + sampleIntervalMs;
  const timer = setInterval(() => {
    const nowMs = clock.nowMs();
    const delayMs = Math.max(0, nowMs - dueAtMs);
    dueAtMs = nowMs + sampleIntervalMs;
    metrics.observeMs('event_loop_delay_ms', delayMs);
    if (delayMs >= loggedDelayMs) log.warn('eventLoopLate', { delayMs: Math.round(delayMs) });
  }, sampleIntervalMs);
  timer.unref();
  return () => clearInterval(timer);
}
