import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Requests of each caller's connection. A caller may send further requests before the first is
 * answered; they run at the same time, and Node.js writes the answers in the order of the requests.
 */

/** Unanswered requests that one connection may have; further ones are refused. */
export const maxRequestsPerConnection = 32;

/** A request that is not answered yet. */
export interface OpenRequest {
  /**
   * Whether this request is the last one that its connection has sent so far. Only the answer to
   * such a request may close the connection, since those to later ones would be lost.
   */
  readonly isNewest: () => boolean;
  /** Ignores all requests that arrive on the connection from now on. */
  readonly closeAfterAnswer: () => void;
}

/** How to treat a request. */
export type Admission =
  | { readonly admission: 'open'; readonly request: OpenRequest }
  /** An earlier answer closes the connection: the caller sends the request again. */
  | { readonly admission: 'ignored' }
  | { readonly admission: 'tooMany'; readonly request: OpenRequest };

interface CallerConnection {
  readonly open: Map<ServerResponse, () => void>;
  newest: ServerResponse | undefined;
  isClosing: boolean;
}

/** Tracks the unanswered requests of all callers' connections. */
export class CallerConnections {
  private readonly bySocket = new WeakMap<Socket, CallerConnection>();

  /**
   * Admits a request whose head has arrived.
   *
   * @param onClosed - called if the connection closes before the answer has been sent completely
   * @param onEnded - called when the answer has been sent or the connection has closed
   */
  admit(
    { socket }: IncomingMessage,
    response: ServerResponse,
    onClosed: () => void,
    onEnded: () => void,
  ): Admission {
    const connection = this.connectionOf(socket);
    if (connection.isClosing) return { admission: 'ignored' };
    connection.newest = response;
    // The caller has asked for the connection to be closed after this answer.
    connection.isClosing = !response.shouldKeepAlive;
    const end = () => {
      if (connection.open.delete(response)) onEnded();
    };
    connection.open.set(response, () => {
      onClosed();
      end();
    });
    response.once('finish', end);
    const request = {
      isNewest: () => connection.newest === response,
      closeAfterAnswer: () => {
        connection.isClosing = true;
      },
    };
    const isTooMany = connection.open.size > maxRequestsPerConnection;
    return { admission: isTooMany ? 'tooMany' : 'open', request };
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.bySocket.get(socket);
    if (known !== undefined) return known;
    const created: CallerConnection = { open: new Map(), newest: undefined, isClosing: false };
    this.bySocket.set(socket, created);
    // Node.js tells only the response that is being written, not those that wait behind it.
    socket.once('close', () => {
      for (const onClosed of [...created.open.values()]) onClosed();
    });
    return created;
  }
}
