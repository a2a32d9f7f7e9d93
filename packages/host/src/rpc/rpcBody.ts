import type { IncomingMessage } from 'node:http';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

/** Largest body of a request between hosts. */
const maxRpcBodyBytes = 64 * 1024 * 1024;

/**
 * Reads the whole body of a request between hosts.
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
  return ok(Buffer.concat(chunks).toString('utf8'));
}
