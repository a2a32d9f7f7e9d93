import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { HostContext } from '../runtime/hostTypes.js';
import { encodeRefusal } from './refusal.js';

/** Connections that are refused as a whole, because no request can be read from them. */

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

/** The response that is being written, or that is next to be written, on a connection. */
function responseInProgress(socket: Duplex): ServerResponse | undefined {
  const { _httpMessage: response } = socket as { _httpMessage?: ServerResponse | null };
  return response ?? undefined;
}

/** Runs an action once the responses to all earlier requests of a connection have been written. */
function afterEarlierAnswers(socket: Duplex, action: () => void): void {
  const response = responseInProgress(socket);
  if (response === undefined) action();
  else response.once('finish', () => afterEarlierAnswers(socket, action));
}

function writeRefusal(socket: Socket, problem: Failure): void {
  const refusal = encodeRefusal(problem, { closesConnection: true });
  let head = `HTTP/1.1 ${refusal.status} Refused\r\n`;
  for (let index = 0; index + 1 < refusal.fields.length; index += 2) {
    head += `${refusal.fields[index]}: ${refusal.fields[index + 1]}\r\n`;
  }
  socket.end(Buffer.concat([Buffer.from(`${head}\r\n`), refusal.body]));
}

/** Refuses connections with requests that the HTTP parser rejects, or whose heads arrive too slowly. */
export class RefusedConnections {
  private readonly refused = new WeakSet<Duplex>();

  /**
   * @param requestIdField - header field with the ID of a request, in lower case
   */
  constructor(
    private readonly context: Pick<HostContext, 'log' | 'metrics'>,
    private readonly requestIdField: string,
  ) {}

  /** Answers the errors of a server's connections with a result code. */
  attach(server: Server): void {
    server.on('clientError', (error: ClientError, socket) => {
      const response = responseInProgress(socket);
      // The error is in the body of the request that is being answered, not in a later request.
      const isInAnsweredRequest = response?.req.complete === false;
      const isTooLate = isInAnsweredRequest && response?.headersSent === true;
      if (error.code === 'ECONNRESET' || !socket.writable || isTooLate) {
        socket.destroy();
        return;
      }
      const problem = toFailure(error);
      if (isInAnsweredRequest) this.refuse(socket as Socket, problem);
      else afterEarlierAnswers(socket, () => this.refuse(socket as Socket, problem));
    });
  }

  /** Logs a request on a connection that has been refused. */
  inspect(request: IncomingMessage): void {
    const { socket } = request;
    if (!this.refused.has(socket)) return;
    const requestId = String(request.headers[this.requestIdField]);
    const { remoteAddress, remotePort } = socket;
    this.context.log.warn('requestAfterRefusal', { requestId, remoteAddress, remotePort });
  }

  private refuse(socket: Socket, problem: Failure): void {
    this.refused.add(socket);
    const { log, metrics } = this.context;
    const { code, detail } = problem;
    const { remoteAddress, remotePort, bytesRead } = socket;
    metrics.count('requests_refused_total', { code });
    log.info('connectionRefused', { code, detail, remoteAddress, remotePort, bytesRead });
    writeRefusal(socket, problem);
  }
}
