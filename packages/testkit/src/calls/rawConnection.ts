import { connect, type Socket } from 'node:net';

import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';

/** A connection whose bytes a test writes itself. */
export interface RawConnection {
  readonly socket: Socket;
  /** Everything received; resolves when the connection has ended. */
  readonly received: Promise<string>;
}

/**
 * Connects to a host.
 *
 * @param endpoint - listener of the host
 */
export function openRaw(endpoint: Endpoint): RawConnection {
  const socket = connect({ host: endpoint.address, port: endpoint.port, allowHalfOpen: true });
  const chunks: Buffer[] = [];
  const received = new Promise<string>((resolve) => {
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('end', () => socket.end());
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('latin1')));
  });
  return { socket, received };
}
