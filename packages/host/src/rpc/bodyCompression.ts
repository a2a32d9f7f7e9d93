import { gunzipSync, gzipSync } from 'node:zlib';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { Result } from 'neverthrow';

/**
 * Compression of bodies between hosts. Lists of hosts and backend servers repeat the same words, and
 * are sent to hundreds of hosts over links of a few megabits per second and between regions.
 */

/** Content coding of compressed bodies. */
export const compressedCoding = 'gzip';
/** Length from which a body is compressed; shorter ones save less than the header fields cost. */
const minCompressedChars = 1024;
/** The fastest level; higher ones save a few more percent for a multiple of the time. */
const compressionLevel = 1;

/** Whether a body is long enough to be compressed. */
export function isWorthCompressing({ length }: string): boolean {
  return length >= minCompressedChars;
}

/** Whether a header field lists the coding of compressed bodies. */
export function listsCompressedCoding(field: string | string[] | undefined): boolean {
  return field !== undefined && String(field).includes(compressedCoding);
}

export function compressBody(text: string): Buffer {
  return gzipSync(text, { level: compressionLevel });
}

/**
 * Decompresses a body.
 *
 * @param maxBytes - largest length of the decompressed body
 * @returns the text, or BL3007 if it is too large or damaged
 */
export function decompressBody(bytes: Buffer, maxBytes: number): Result<string, Failure> {
  const decompress = Result.fromThrowable(
    () => gunzipSync(bytes, { maxOutputLength: maxBytes }).toString('utf8'),
    (error) => failure('BL3007', `a compressed body between hosts: ${String(error)}`),
  );
  return decompress();
}
