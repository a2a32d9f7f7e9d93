import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import { encodeRefusal } from './refusal.js';

/** Error of the HTTP parser, or of a timeout of the HTTP server. */
interface ClientError extends Error {
  readonly code?: string;
}

function toFailure(error: ClientError): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') return failure('BL3008', 'the head is too large');
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT')
    return failure('BL3009', 'the head arrived too slowly');
  return failure('BL3010', error.code ?? 'the request cannot be parsed');
}

function writeRefusal(socket: Socket, problem: Failure): void {
  const refusal = encodeRefusal(problem, { closesConnection: true });
  let head = `HTTP/1.1 ${refusal.status} Refused\r\n`;
  for (let index = 0; index + 1 < refusal.fields.length; index += 2) {
    head += `${refusal.fields[index]}: ${refusal.fields[index + 1]}\r\n`;
  }
  socket.end(Buffer.concat([Buffer.from(`${head}\r\n`), refusal.body]));
}

/**
 * Answers requests that the HTTP parser rejects with a result code.
 *
 * @param onRefused - called for each refusal
 */
export function answerMalformedRequests(
  server: Server,
  onRefused: (problem: Failure) => void,
): void {
  server.on('clientError', (error: ClientError, socket) => {
    const { _httpMessage: openResponse } = socket as { _httpMessage?: { headersSent: boolean } };
    if (error.code === 'ECONNRESET' || !socket.writable || openResponse?.headersSent === true) {
      socket.destroy();
      return;
    }
    const problem = toFailure(error);
    onRefused(problem);
    writeRefusal(socket as Socket, problem);
  });
}
