import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { LogFields } from '../log/log.js';
import { createMetrics } from '../metrics/metrics.js';
import { observeEventLoopDelay } from './eventLoopDelay.js';

test('a blocked event loop is logged with its delay', async (t) => {
  const lines: [string, LogFields?][] = [];
  const ignore = () => undefined;
  const end = observeEventLoopDelay({
    clock: { nowMs: () => performance.now(), wallMs: () => Date.now() },
    log: { debug: ignore, info: ignore, error: ignore, warn: (...line) => lines.push(line) },
    metrics: createMetrics(),
  });
  await delay(20);
  const blockedUntilMs = performance.now() + 400;
  while (performance.now() < blockedUntilMs);
  await delay(20);
  end();
  const [event, fields] = lines[0] ?? [];
  t.is(event, 'eventLoopLate');
  t.true(Number(fields?.delayMs) >= 300);
});
