import test from 'ava';

import { decodeBinary, encodeBinary } from './binaryCodec.js';
import { encodeInSlices } from './snapshotEncoder.js';

const values: Readonly<Record<string, unknown>> = {
  nothing: {},
  'a text': 'text',
  'an array': [1, 'two', [3], { four: 4 }],
  'nested objects': { a: { b: { c: { d: { e: [1, null, true] } } } }, f: undefined, g: [] },
  bytes: { data: Uint8Array.of(1, 2, 3), list: [Uint8Array.of(4)] },
  'many fields': Object.fromEntries(
    Array.from({ length: 300 }, (_, index) => [`f${index}`, index]),
  ),
  'many elements': { list: Array.from({ length: 70_000 }, (_, index) => ({ index, text: 'x' })) },
};

for (const [what, value] of Object.entries(values)) {
  test(`a value encoded in slices decodes like one encoded at once: ${what}`, async (t) => {
    const sliced = await encodeInSlices(value);
    t.deepEqual(decodeBinary(sliced), decodeBinary(encodeBinary(value)));
  });
}

test('the encoder pauses after each slice, also inside one array', async (t) => {
  let nowMs = 0;
  let pauses = 0;
  let sliceStartedAtMs = 0;
  let longestSliceMs = 0;
  const pause = async () => {
    pauses += 1;
    longestSliceMs = Math.max(longestSliceMs, nowMs - sliceStartedAtMs);
    sliceStartedAtMs = nowMs;
  };
  const clock = () => {
    nowMs += 0.5;
    return nowMs;
  };
  const sections = Array.from({ length: 100 }, (_, index) => ({ index }));
  await encodeInSlices({ documents: { sections } }, pause, clock);
  t.true(pauses > 0);
  t.true(longestSliceMs <= 6, `${longestSliceMs} ms`);
});
