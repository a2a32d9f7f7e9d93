import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { EventRateLimiter } from './eventRateLimiter.js';
import { createLog } from './log.js';
import { createLineWriter } from './standardOutput.js';

test('lines of an event are limited per second, and suppressed lines are reported', (t) => {
  const reported: [string, number][] = [];
  const limiter = new EventRateLimiter(2, (event, suppressed) =>
    reported.push([event, suppressed]),
  );
  const written = [0, 1, 2, 3].filter((nowMs) => limiter.tryAcquire('refused', 5000 + nowMs));
  t.is(written.length, 2);
  t.true(limiter.tryAcquire('sent', 5004));
  t.deepEqual(reported, []);
  t.true(limiter.tryAcquire('refused', 6000));
  t.deepEqual(reported, [['refused', 2]]);
});

test('a flood of one event does not suppress the lines of other events', (t) => {
  const lines: string[] = [];
  const log = createLog('a', 'info', (line) => lines.push(line), {
    linesPerS: 3,
    nowMs: () => 1000,
  });
  for (let call = 0; call < 100; call += 1) log.info('callSent', { call });
  log.warn('leaderLost');
  t.is(lines.filter((line) => line.includes('event=callSent')).length, 3);
  t.is(lines.filter((line) => line.includes('event=leaderLost')).length, 1);
});

test('lines are dropped without waiting when the reader of the output does not read', (t) => {
  let done: (error: null) => void = () => undefined;
  const texts: string[] = [];
  const writer = createLineWriter((text, written) => {
    texts.push(text);
    done = written;
  });
  const line = 'x'.repeat(1023);
  for (let count = 0; count < 1000; count += 1) writer.write(line);
  t.true(writer.dropped() > 700);
  return new Promise<void>((resolve) => {
    setImmediate(() => {
      t.is(texts.length, 1);
      done(null);
      resolve();
    });
  });
});

test('successive lines are written in batches, at most ten times a second', async (t) => {
  const texts: string[] = [];
  const writer = createLineWriter((text, written) => {
    texts.push(text);
    setImmediate(written, null);
  });
  const startedAtMs = performance.now();
  for (let count = 0; count < 60; count += 1) {
    writer.write(`line ${count}`);
    await delay(5);
  }
  const elapsedS = (performance.now() - startedAtMs) / 1000;
  await writer.flush(1000);
  t.is(texts.join(''), Array.from({ length: 60 }, (_, count) => `line ${count}\n`).join(''));
  t.true(texts.length <= 10 * elapsedS + 2, `${texts.length} writes in ${elapsedS} s`);
});
