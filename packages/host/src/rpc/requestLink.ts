import { clockHeader, procedurePathPrefix } from '@buckthornlug/protocol/calls/callHeaders.js';
import { TRPCClientError, type Operation, type TRPCLink } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import type { Dispatcher } from 'undici';

import type { AppRouter } from './appRouter.js';
import type { RequestAuth } from './requestAuth.js';

/** Connections, signature and clock of the link to one host. */
export interface RequestLinkParts {
  /** Agent that owns the connections. */
  readonly dispatcher: Dispatcher;
  /** Scheme, address and port of the host. */
  readonly origin: string;
  readonly toHostId: string;
  readonly sign: RequestAuth['sign'];
  /** Returns the value of the clock header of a request. */
  readonly readClock: () => string;
  /** Called with the clock header of each reply. */
  readonly observeClock: (clock: string | string[] | undefined) => void;
}

/** Reply of a host in trpc's format. */
type ProcedureReply = { readonly result: { readonly data: unknown } } | { readonly error: object };

/** HTTP request for a procedure. */
interface WireRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
}

function toWireRequest({ type, path: name, input }: Operation): WireRequest {
  const path = procedurePathPrefix + name;
  const text = input === undefined ? '' : JSON.stringify(input);
  if (type === 'mutation') return { method: 'POST', path, body: text };
  const query = text === '' ? '' : `?input=${encodeURIComponent(text)}`;
  return { method: 'GET', path: path + query, body: '' };
}

async function send(parts: RequestLinkParts, operation: Operation): Promise<ProcedureReply> {
  const { dispatcher, origin, toHostId, sign, readClock, observeClock } = parts;
  const { method, path, body } = toWireRequest(operation);
  const reply = await dispatcher.request({
    origin,
    method,
    path,
    headers: {
      ...(body === '' ? {} : { 'content-type': 'application/json' }),
      [clockHeader]: readClock(),
      ...sign({ toHostId, method, path, body }),
    },
    body: body === '' ? null : body,
    signal: operation.signal ?? null,
  });
  observeClock(reply.headers[clockHeader]);
  return (await reply.body.json()) as ProcedureReply;
}

/**
 * Sends each trpc request to one host, in the format of trpc's own HTTP link. That link is not used
 * since it builds a URL, a fetch request and abort signals for each call, which cost more than the
 * request itself.
 */
export function createRequestLink(parts: RequestLinkParts): TRPCLink<AppRouter> {
  return () =>
    ({ op }) =>
      observable((observer) => {
        const { signal } = op;
        const onAbort = () => observer.error(TRPCClientError.from(signal?.reason as Error));
        // undici observes the signal only after connecting, which takes seconds if the host is down.
        signal?.addEventListener('abort', onAbort);
        send(parts, op).then(
          (reply) => {
            if ('result' in reply) {
              observer.next({ result: { type: 'data', data: reply.result.data } });
              observer.complete();
            } else {
              observer.error(TRPCClientError.from(reply as never));
            }
          },
          (error: unknown) => observer.error(TRPCClientError.from(error as Error)),
        );
        return () => signal?.removeEventListener('abort', onAbort);
      });
}
