import { connect, createServer, type Socket } from 'node:net';

import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';

/** Directions of a relay: from the side that connects, and back to it. */
export type RelayDirection = 'forth' | 'back';

/** What a relay does to the data that goes one way. */
interface Way {
  delayMs: number;
  /** Data are dropped without a word, with the connection left open. */
  isStalled: boolean;
}

/** A TCP relay between two processes of a test. */
export interface Relay {
  /** Delays what goes one way. */
  readonly delay: (direction: RelayDirection, delayMs: number) => void;
  /** Stalls both ways or one, silently: connections stay open and nothing arrives. */
  readonly stall: (...directions: RelayDirection[]) => void;
  /** Resets all connections and refuses new ones. */
  readonly cut: () => void;
  /** Ends stalls and cuts; connections that were stalled are reset, since data are missing. */
  readonly heal: () => void;
  readonly connections: () => number;
  readonly stop: () => Promise<void>;
}

/** Passes data from one socket to the other as the way says, in order. */
function passOn(from: Socket, to: Socket, way: Way): void {
  let lastDueAtMs = 0;
  const afterDelay = (act: () => void) => {
    const nowMs = performance.now();
    lastDueAtMs = Math.max(lastDueAtMs, nowMs + way.delayMs);
    if (way.delayMs === 0 && lastDueAtMs <= nowMs) {
      act();
      return;
    }
    setTimeout(act, lastDueAtMs - nowMs);
  };
  from.on('data', (chunk: Buffer) => {
    if (way.isStalled) return;
    afterDelay(() => {
      if (!to.destroyed) to.write(chunk);
    });
  });
  from.on('end', () => {
    if (!way.isStalled) afterDelay(() => to.end());
  });
  from.on('close', () => {
    if (!way.isStalled) afterDelay(() => to.destroySoon());
  });
  from.on('error', () => {
    if (!way.isStalled) to.resetAndDestroy();
  });
}

/**
 * Starts a relay.
 *
 * @param listenOn - address that it takes connections on
 * @param target - address that it connects to
 */
export async function startRelay(listenOn: Endpoint, target: Endpoint): Promise<Relay> {
  const ways: Record<RelayDirection, Way> = {
    forth: { delayMs: 0, isStalled: false },
    back: { delayMs: 0, isStalled: false },
  };
  const sockets = new Set<Socket>();
  let isCut = false;

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    if (isCut) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ ...target, host: target.address, allowHalfOpen: true, noDelay: true });
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    }
    passOn(near, far, ways.forth);
    passOn(far, near, ways.back);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listenOn.port, listenOn.address, () => resolve());
  });

  const resetAll = () => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  return {
    delay: (direction, delayMs) => {
      ways[direction].delayMs = delayMs;
    },
    stall: (...directions) => {
      for (const direction of directions) ways[direction].isStalled = true;
    },
    cut: () => {
      isCut = true;
      resetAll();
    },
    heal: () => {
      if (ways.forth.isStalled || ways.back.isStalled) resetAll();
      ways.forth.isStalled = false;
      ways.back.isStalled = false;
      isCut = false;
    },
    connections: () => sockets.size / 2,
    stop: async () => {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      resetAll();
      await closed;
    },
  };
}
