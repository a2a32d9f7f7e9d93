import test from 'ava';

import { parseRetryAfterMs } from './retryAfter.js';

const wallMs = Date.UTC(2026, 0, 1);

/** Each row: value of the field, expected delay in milliseconds. */
const values: readonly (readonly [string | undefined, number | undefined])[] = [
  ['2', 2000],
  ['0.25', 250],
  [' 1 ', 1000],
  [new Date(wallMs + 3000).toUTCString(), 3000],
  [new Date(wallMs - 3000).toUTCString(), undefined],
  ['86400', 300_000],
  ['9'.repeat(400), 300_000],
  ['0', undefined],
  ['-1', undefined],
  ['1e3', undefined],
  ['soon', undefined],
  ['', undefined],
  [undefined, undefined],
];

for (const [text, delayMs] of values) {
  test(`Retry-After "${text?.slice(0, 40)}" means ${delayMs ?? 'no delay'}`, (t) => {
    t.is(parseRetryAfterMs(text, wallMs), delayMs);
  });
}
