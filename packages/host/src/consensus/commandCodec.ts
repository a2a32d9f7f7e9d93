import { gunzipSync, gzipSync } from 'node:zlib';

import { decodeBinary } from './binaryCodec.js';

/**
 * Commands as the log holds them: CBOR, compressed where they are long. A command with a document of
 * thousands of routes has megabytes, which are written, sent to each replica and retained.
 */

/** Length from which a command is compressed. */
const minCompressedBytes = 16 * 1024;
/** The fastest level; higher ones save a few more percent for a multiple of the time. */
const compressionLevel = 1;
/** First bytes of compressed data; no CBOR begins with them. */
const compressedMark = [0x1f, 0x8b] as const;

function isCompressed(data: Uint8Array): boolean {
  return data[0] === compressedMark[0] && data[1] === compressedMark[1];
}

/** Compresses an encoded command if it is long. */
export function compressCommand(encoded: Uint8Array): Uint8Array {
  if (encoded.byteLength < minCompressedBytes) return encoded;
  return gzipSync(encoded, { level: compressionLevel });
}

/** Decodes a command of the log; throws if the bytes are invalid. */
export function decodeCommand(data: Uint8Array): unknown {
  return decodeBinary(isCompressed(data) ? gunzipSync(data) : data);
}
