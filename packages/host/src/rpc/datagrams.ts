import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { isIPv6 } from 'node:net';

import { decodeDatagram, encodeDatagram } from '@buckthornlug/core/membership/datagramCodec.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { SecretKey } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { ResultAsync } from 'neverthrow';

/** Signed datagrams between hosts, for small messages whose loss the protocols tolerate. */

/** Largest datagram that passes any link without fragmentation. */
const maxDatagramBytes = 1200;

/** Protocols that use datagrams. */
export type DatagramChannel = 'membership' | 'consensus';

/** Address, keys and callback of a datagram socket. */
export interface DatagramParts {
  readonly endpoint: Endpoint;
  /** Valid keys; the first one signs. */
  readonly keys: readonly SecretKey[];
  /** Called with the sender's address for each datagram without a valid signature. */
  readonly onKeyRefused: (sender: string) => void;
}

/** Datagram socket of a host. */
export interface Datagrams {
  /** Sends a text; returns false if it is too large, there is no key, or the socket is closed. */
  readonly send: (endpoint: Endpoint, channel: DatagramChannel, content: string) => boolean;
  /** Sets the receiver of a channel. */
  readonly receive: (channel: DatagramChannel, receiver: (content: string) => void) => void;
  /** Closes the socket after the datagrams already passed to `send` have been sent. */
  readonly close: () => Promise<void>;
}

function bind(socket: Socket, endpoint: Endpoint): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(endpoint.port, endpoint.address, () => {
      socket.off('error', reject);
      // An error of a single datagram means that it is lost, which the protocols tolerate.
      socket.on('error', () => undefined);
      resolve();
    });
  });
}

/** Text of a datagram: the channel, a newline, the content. */
function prependChannel(channel: DatagramChannel, content: string): string {
  return `${channel}\n${content}`;
}

/**
 * Opens a datagram socket on the address of the listener for other hosts.
 *
 * @returns the socket, or BL1004 if the address cannot be bound
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
      // A send error is ignored; the datagram counts as lost.
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
