import test from 'ava';

import { maxIdleTimeoutMs, parseIdleTimeoutMs } from './keepAlive.js';

/** Each row: value of the field, expected idle time in milliseconds. */
const values: readonly (readonly [string | undefined, number | undefined])[] = [
  ['timeout=5', 5000],
  ['timeout=0', 0],
  ['max=100, timeout=15', 15_000],
  ['timeout=3600', maxIdleTimeoutMs],
  [`timeout=${'9'.repeat(20)}`, maxIdleTimeoutMs],
  [`timeout=${'9'.repeat(306)}`, maxIdleTimeoutMs],
  [`timeout=${'9'.repeat(400)}`, maxIdleTimeoutMs],
  ['timeout=-1', undefined],
  ['timeout=Infinity', undefined],
  ['max=100', undefined],
  ['', undefined],
  [undefined, undefined],
];

for (const [text, idleTimeoutMs] of values) {
  test(`Keep-Alive "${text?.slice(0, 20)}" (${text?.length ?? 0} characters) means ${idleTimeoutMs ?? 'no time'}`, (t) => {
    t.is(parseIdleTimeoutMs(text), idleTimeoutMs);
  });
}
