import { connect, createServer } from 'node:net';
import { setTimeout as startTimer } from 'node:timers';

/** A link that delays what goes to one address; answers are passed on at once. */

/**
 * Starts the link.
 *
 * @param from - address at which callers reach it
 * @param to - address that it leads to
 * @param delayMs - returns the current delay of bytes and of the end of a connection
 * @returns a function that closes it
 */
export async function startDelayedLink(from, to, delayMs) {
  const sockets = new Set();
  const keep = (socket) => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
    return socket;
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    keep(caller);
    const target = keep(connect({ ...to, allowHalfOpen: true }));
    caller.on('data', (chunk) => startTimer(() => target.write(chunk), delayMs()));
    // A caller that goes away closes its connection; that takes as long as its bytes.
    caller.on('close', () => startTimer(() => target.destroy(), delayMs()));
    caller.on('end', () => startTimer(() => target.end(), delayMs()));
    target.on('data', (chunk) => caller.writable && caller.write(chunk));
    target.on('end', () => caller.end());
  });
  await new Promise((resolve) => {
    server.listen(from.port, from.host, resolve);
  });
  return async () => {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  };
}
