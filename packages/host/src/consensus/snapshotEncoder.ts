import { encodeBinary } from './binaryCodec.js';

/** Encodes a large state in slices, so that the event loop serves timers and sockets in between. */

/** Duration of one slice; far below a heartbeat interval. */
const sliceBudgetMs = 4;
/** Target duration of one batch of array elements. */
const targetBatchMs = 1;
/** Nesting depth down to which objects are split into fields; deeper values are encoded at once. */
const maxSplitDepth = 3;

const mapType = 0xa0;
const arrayType = 0x80;

/** Encodes the header of a CBOR map or array. */
function encodeHeader(type: number, length: number): Uint8Array {
  if (length < 24) return Uint8Array.of(type | length);
  const head = Buffer.alloc(5);
  head.writeUInt8(type | 26, 0);
  head.writeUInt32BE(length, 1);
  return head;
}

/** Size of the header that the codec wrote before the elements of an array. */
function arrayHeaderBytes(encoded: Uint8Array): number {
  const size = (encoded[0] ?? 0) & 31;
  return size < 24 ? 1 : 1 + 2 ** (size - 24);
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' && value !== null && Object.getPrototypeOf(value) === Object.prototype
  );
}

/** Encodes the elements in batches, sized by the time that the previous batch took. */
function* encodeArrayParts(
  elements: readonly unknown[],
  nowMs: () => number,
): Generator<Uint8Array> {
  yield encodeHeader(arrayType, elements.length);
  let batchSize = 1;
  for (let first = 0; first < elements.length;) {
    const startedAtMs = nowMs();
    const batch = elements.slice(first, first + batchSize);
    const encoded = encodeBinary(batch);
    first += batch.length;
    yield encoded.subarray(arrayHeaderBytes(encoded));
    const batchElapsedMs = nowMs() - startedAtMs;
    batchSize = batchElapsedMs < targetBatchMs ? batchSize * 2 : Math.max(1, batchSize >> 1);
  }
}

function* encodeParts(value: unknown, depth: number, nowMs: () => number): Generator<Uint8Array> {
  if (Array.isArray(value)) {
    yield* encodeArrayParts(value, nowMs);
    return;
  }
  if (!isPlainObject(value) || depth >= maxSplitDepth) {
    yield encodeBinary(value);
    return;
  }
  const fields = Object.entries(value);
  yield encodeHeader(mapType, fields.length);
  for (const [name, field] of fields) {
    yield encodeBinary(name);
    yield* encodeParts(field, depth + 1, nowMs);
  }
}

function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Encodes plain data with a pause after each slice; the bytes decode to the same value as those of
 * `encodeBinary`. The data must not change until the promise resolves.
 *
 * @param pause - lets the process do other work
 * @param nowMs - monotonic time
 */
export async function encodeInSlices(
  value: unknown,
  pause: () => Promise<void> = yieldToEventLoop,
  nowMs: () => number = () => performance.now(),
): Promise<Uint8Array> {
  const parts: Uint8Array[] = [];
  let sliceStartedAtMs = nowMs();
  for (const part of encodeParts(value, 0, nowMs)) {
    parts.push(part);
    if (nowMs() - sliceStartedAtMs < sliceBudgetMs) continue;
    await pause();
    sliceStartedAtMs = nowMs();
  }
  return Buffer.concat(parts);
}
