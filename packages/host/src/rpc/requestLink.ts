import { isFinalStatus } from '@buckthornlug/core/calls/answerStatus.js';
import { clockHeader, procedurePathPrefix } from '@buckthornlug/protocol/calls/callHeaders.js';
import { TRPCClientError, type Operation, type TRPCLink } from '@trpc/client';
import { observable } from '@trpc/server/observable';
import type { Dispatcher } from 'undici';

import type { AppRouter } from './appRouter.js';
import {
  compressBody,
  compressedCoding,
  decompressBody,
  isWorthCompressing,
  listsCompressedCoding,
} from './bodyCompression.js';
import type { RequestAuth } from './requestAuth.js';
import { maxRpcBodyBytes } from './rpcBody.js';

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

/**
 * Status with which a host refuses a request whose signature does not match. A host of an earlier version
 * takes a compressed body for text and refuses it so, before the procedure runs.
 */
const signatureRefusedStatus = 401;

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

/** Whether a host takes compressed bodies; one of an earlier version refuses them unread. */
interface PeerCodings {
  takesCompressed: 'yes' | 'no' | 'unknown';
}

async function readReply({ headers, body }: Dispatcher.ResponseData): Promise<ProcedureReply> {
  if (!listsCompressedCoding(headers['content-encoding'])) {
    return (await body.json()) as ProcedureReply;
  }
  const bytes = Buffer.from(await body.arrayBuffer());
  const text = decompressBody(bytes, maxRpcBodyBytes);
  if (text.isErr()) throw new Error(text.error.detail);
  return JSON.parse(text.value) as ProcedureReply;
}

async function send(
  parts: RequestLinkParts,
  operation: Operation,
  codings: PeerCodings,
): Promise<ProcedureReply> {
  const { dispatcher, origin, toHostId, sign, readClock, observeClock } = parts;
  const { method, path, body } = toWireRequest(operation);
  const isCompressed = codings.takesCompressed !== 'no' && isWorthCompressing(body);
  const reply = await dispatcher.request({
    origin,
    method,
    path,
    headers: {
      'accept-encoding': compressedCoding,
      ...(body === '' ? {} : { 'content-type': 'application/json' }),
      ...(isCompressed ? { 'content-encoding': compressedCoding } : {}),
      [clockHeader]: readClock(),
      ...sign({ toHostId, method, path, body }),
    },
    body: isCompressed ? compressBody(body) : body || null,
    signal: operation.signal ?? null,
  });
  if (!isFinalStatus(reply.statusCode)) {
    await reply.body.dump();
    throw new Error(`status ${reply.statusCode} is no reply`);
  }
  observeClock(reply.headers[clockHeader]);
  const isAccepted = listsCompressedCoding(reply.headers['accept-encoding']);
  const isFirstCompressed = isCompressed && codings.takesCompressed === 'unknown';
  if (isFirstCompressed && !isAccepted && reply.statusCode === signatureRefusedStatus) {
    Object.assign(codings, { takesCompressed: 'no' });
    await reply.body.dump();
    return send(parts, operation, codings);
  }
  if (isAccepted) Object.assign(codings, { takesCompressed: 'yes' });
  return readReply(reply);
}

/**
 * Sends each trpc request to one host, in the format of trpc's own HTTP link. That link is not used
 * since it builds a URL, a fetch request and abort signals for each call, which cost more than the
 * request itself.
 */
export function createRequestLink(parts: RequestLinkParts): TRPCLink<AppRouter> {
  const codings: PeerCodings = { takesCompressed: 'unknown' };
  return () =>
    ({ op }) =>
      observable((observer) => {
        const { signal } = op;
        const onAbort = () => observer.error(TRPCClientError.from(signal?.reason as Error));
        // undici observes the signal only after connecting, which takes seconds if the host is down.
        signal?.addEventListener('abort', onAbort);
        send(parts, op, codings).then(
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
