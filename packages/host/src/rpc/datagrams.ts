import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { isIPv6 } from 'node:net';

import { decodeDatagram, encodeDatagram } from '@buckthornlug/core/membership/datagramCodec.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { SecretKey } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { ResultAsync } from 'neverthrow';

/** Signed datagrams between hosts, for small messages whose loss the protocol allows for. */

/** Largest datagram that is sent whole over any link. */
const maxDatagramBytes = 1200;

/** Protocols that use datagrams. */
export type DatagramChannel = 'membership' | 'consensus';

/** What a socket for datagrams is given. */
export interface DatagramParts {
  readonly endpoint: Endpoint;
  /** Valid keys; the first signs. */
  readonly keys: readonly SecretKey[];
  readonly onKeyRefused: (sender: string) => void;
}

/** Carries the small messages of a host. */
export interface Datagrams {
  /** Sends a text; gives false where it is too large for a datagram. */
  readonly send: (endpoint: Endpoint, channel: DatagramChannel, content: string) => boolean;
  /** Sets the receiver of a channel. */
  readonly receive: (channel: DatagramChannel, receiver: (content: string) => void) => void;
  /** Closes the socket once the datagrams before it have gone out. */
  readonly close: () => Promise<void>;
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

/** Text of a datagram: the channel, a line end, the content. */
function prependChannel(channel: DatagramChannel, content: string): string {
  return `${channel}\n${content}`;
}

/**
 * Opens a socket for datagrams on the address of the listener for other hosts.
 *
 * @param parts - address, keys and what is told of refused keys
 * @returns the socket, or BL1004 where the address cannot be bound
 */
export function openDatagrams(parts: DatagramParts): ResultAsync<Datagrams, Failure> {
  const { endpoint, keys, onKeyRefused } = parts;
  const [signingKey] = keys;
  const socket = createSocket(isIPv6(endpoint.address) ? 'udp6' : 'udp4');
  const receivers = new Map<string, (content: string) => void>();
  const pendingSends = new Set<Promise<void>>();
  let isOpen = true;

  socket.on('message', (bytes: Buffer, sender: RemoteInfo) => {
    const text = decodeDatagram(keys, bytes.toString('utf8'));
    if (text === undefined) {
      onKeyRefused(sender.address);
      return;
    }
    const channelEnd = text.indexOf('\n');
    receivers.get(text.slice(0, Math.max(0, channelEnd)))?.(text.slice(channelEnd + 1));
  });

  const send: Datagrams['send'] = (target, channel, content) => {
    if (signingKey === undefined || !isOpen) return false;
    const datagram = Buffer.from(encodeDatagram(signingKey, prependChannel(channel, content)));
    if (datagram.byteLength > maxDatagramBytes) return false;
    const sent = new Promise<void>((resolve) => {
      // A datagram that cannot be sent counts as lost.
      socket.send(datagram, target.port, target.address, () => resolve());
    });
    pendingSends.add(sent);
    sent.then(() => pendingSends.delete(sent)).catch(() => undefined);
    return true;
  };

  const datagrams: Datagrams = {
    send,
    receive: (channel, receiver) => receivers.set(channel, receiver),
    close: async () => {
      if (!isOpen) return;
      isOpen = false;
      await Promise.all(pendingSends);
      socket.close();
    },
  };
  return ResultAsync.fromPromise(bind(socket, endpoint), (error) =>
    failure('BL1004', `${endpoint.address}:${endpoint.port} (datagrams): ${String(error)}`),
  ).map(() => datagrams);
}
