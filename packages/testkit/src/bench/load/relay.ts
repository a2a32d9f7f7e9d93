import { createServer, connect, type Socket } from 'node:net';

import type { RelayLine } from './loadTypes.js';

/** Passes on what arrives after the delay, in order. */
function passOn(from: Socket, to: Socket, delayMs: number): void {
  from.on('data', (chunk) => {
    setTimeout(() => {
      if (!to.destroyed) to.write(chunk);
    }, delayMs);
  });
  from.on('end', () => setTimeout(() => to.end(), delayMs));
  from.on('error', () => to.destroy());
  from.on('close', () => setTimeout(() => to.destroy(), delayMs));
}

function startLine({ listen, to, oneWayDelayMs }: RelayLine): Promise<void> {
  const server = createServer((socket) => {
    const far = connect({ host: to.address, port: to.port, noDelay: true });
    socket.setNoDelay(true);
    passOn(socket, far, oneWayDelayMs);
    passOn(far, socket, oneWayDelayMs);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.address, () => resolve());
  });
}

/**
 * Starts lines that delay the bytes between hosts.
 *
 * @param lines - where each listens and leads
 */
export async function startRelay(lines: readonly RelayLine[]): Promise<void> {
  for (const line of lines) await startLine(line);
}
