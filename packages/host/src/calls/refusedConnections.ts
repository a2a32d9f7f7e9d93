import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { HostContext } from '../runtime/hostTypes.js';
import { isStreamedOn } from './bodyGuard.js';
import { encodeRefusal } from './refusal.js';

/** Connections that are refused as a whole, because no request can be read from them. */

/** Error of the HTTP parser, or of a timeout of the HTTP server. */
interface ClientError extends Error {
  readonly code?: string;
}

const headTimeoutError = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Time without data after which a refused connection is closed if its caller does not close it. */
const lingerMs = 3000;

function toFailure(error: ClientError): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') return failure('BL3008', 'the head is too large');
  if (error.code === headTimeoutError) return failure('BL3009', 'the head arrived too slowly');
  return failure('BL3010', error.code ?? 'the request cannot be parsed');
}

/** Failure of a call whose body breaks off after a backend server may have started it. */
function toBodyFailure(error: ClientError): Failure {
  return failure('BL3019', error.code ?? 'the body cannot be parsed');
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

/**
 * Refuses connections with requests that the HTTP parser rejects, or whose heads arrive too slowly. The
 * refusal says that the request has not run, so none that arrives later on the connection is handled.
 */
export class RefusedConnections {
  /** Refusals that are still to be written; a head that arrives whole before withdraws its refusal. */
  private readonly due = new WeakMap<Duplex, Failure>();

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
      const mayHaveRun = isInAnsweredRequest && isStreamedOn(response.req);
      this.due.set(socket, mayHaveRun ? toBodyFailure(error) : toFailure(error));
      if (isInAnsweredRequest) this.refuseIfDue(socket as Socket);
      // A process that stood still runs its timers before it reads what has arrived meanwhile.
      else if (error.code === headTimeoutError) setImmediate(() => this.refuseInTurn(socket));
      else this.refuseInTurn(socket);
    });
  }

  /** Whether a request may be handled; false if its connection has been refused. */
  admit(request: IncomingMessage): boolean {
    const { socket } = request;
    this.due.delete(socket);
    if (!this.refused.has(socket)) return true;
    const requestId = String(request.headers[this.requestIdField]);
    const { remoteAddress, remotePort } = socket;
    this.context.log.warn('requestAfterRefusal', { requestId, remoteAddress, remotePort });
    // The end of the connection is behind the body.
    request.resume();
    socket.setTimeout(lingerMs);
    return false;
  }

  private refuseInTurn(socket: Duplex): void {
    afterEarlierAnswers(socket, () => this.refuseIfDue(socket as Socket));
  }

  private refuseIfDue(socket: Socket): void {
    const problem = this.due.get(socket);
    if (problem === undefined || !socket.writable) return;
    this.due.delete(socket);
    this.refused.add(socket);
    const { log, metrics } = this.context;
    const { code, detail } = problem;
    const { remoteAddress, remotePort, bytesRead } = socket;
    metrics.count('requests_refused_total', { code });
    log.info('connectionRefused', { code, detail, remoteAddress, remotePort, bytesRead });
    writeRefusal(socket, problem);
    socket.setTimeout(lingerMs);
  }
}
