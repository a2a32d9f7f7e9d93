import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { isIPv6 } from 'node:net';

import { decodeDatagram, encodeDatagram } from '@buckthornlug/core/membership/datagramForm.js';
import type { MemberMessage } from '@buckthornlug/core/membership/membershipTypes.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { SecretKey } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { Result, ResultAsync } from 'neverthrow';

import { memberMessageSchema } from './membershipSchema.js';

/** Largest datagram that is sent whole over any link. */
const maxDatagramBytes = 1200;

/** What a socket for datagrams is given. */
export interface DatagramParts {
  readonly endpoint: Endpoint;
  /** Valid keys; the first signs. */
  readonly keys: readonly SecretKey[];
  readonly onMessage: (message: MemberMessage) => void;
  readonly onKeyRefused: (sender: string) => void;
}

/** Carries small messages of the membership. */
export interface Datagrams {
  /** Sends a message; gives false where it is too large for a datagram. */
  readonly send: (endpoint: Endpoint, message: MemberMessage) => Promise<boolean>;
  readonly close: () => void;
}

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'no JSON',
);

function receive(parts: DatagramParts, bytes: Buffer, sender: RemoteInfo): void {
  const content = decodeDatagram(parts.keys, bytes.toString('utf8'));
  if (content === undefined) {
    parts.onKeyRefused(sender.address);
    return;
  }
  const message = memberMessageSchema.safeParse(parseJson(content).unwrapOr(undefined));
  if (message.success) parts.onMessage(message.data);
}

function bind(socket: Socket, endpoint: Endpoint): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(endpoint.port, endpoint.address, () => {
      socket.off('error', reject);
      // Errors of single datagrams mean that they are lost, which the protocol allows for.
      socket.on('error', () => undefined);
      resolve();
    });
  });
}

/**
 * Opens a socket for datagrams on the address of the listener for other hosts.
 *
 * @param parts - address, keys and receiver
 * @returns the socket, or BL1004 where the address cannot be bound
 */
export function openDatagrams(parts: DatagramParts): ResultAsync<Datagrams, Failure> {
  const { endpoint, keys } = parts;
  const [signingKey] = keys;
  const socket = createSocket(isIPv6(endpoint.address) ? 'udp6' : 'udp4');
  let isOpen = true;
  socket.on('message', (bytes, sender) => receive(parts, bytes, sender));
  const send: Datagrams['send'] = (target, message) => {
    if (signingKey === undefined || !isOpen) return Promise.resolve(false);
    const datagram = Buffer.from(encodeDatagram(signingKey, JSON.stringify(message)));
    if (datagram.byteLength > maxDatagramBytes) return Promise.resolve(false);
    return new Promise((resolve) => {
      // A datagram that cannot be sent counts as lost.
      socket.send(datagram, target.port, target.address, () => resolve(true));
    });
  };
  const close = () => {
    isOpen = false;
    socket.close();
  };
  return ResultAsync.fromPromise(bind(socket, endpoint), (error) =>
    failure('BL1004', `${endpoint.address}:${endpoint.port} (datagrams): ${String(error)}`),
  ).map(() => ({ send, close }));
}
