import type { IncomingMessage } from 'node:http';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { decompressBody, listsCompressedCoding } from './bodyCompression.js';

/** Largest body between hosts, compressed or not. */
export const maxRpcBodyBytes = 64 * 1024 * 1024;

/**
 * Reads the whole body of a request between hosts, and decompresses it if it is compressed.
 *
 * @returns the body, or BL3007 if it is too large; rejects if the sender aborts the request
 */
export async function readRpcBody(request: IncomingMessage): Promise<Result<string, Failure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.byteLength;
    if (size > maxRpcBodyBytes) return err(failure('BL3007', 'a request between hosts'));
    chunks.push(chunk);
  }
  const bytes = Buffer.concat(chunks);
  return listsCompressedCoding(request.headers['content-encoding'])
    ? decompressBody(bytes, maxRpcBodyBytes)
    : ok(bytes.toString('utf8'));
}
