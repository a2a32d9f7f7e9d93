import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { Pool } from 'undici';

import { originOf } from '../rpc/peerClients.js';

/** Maximum connections to a backend server that has not announced itself to this host yet. */
const defaultConnections = 4;
const connectionsPerHost = 512;
const connectTimeoutMs = 1000;
/** Time without use after which the connections to a backend server or host are closed. */
const maxIdleMs = 30_000;
const keepAliveMs = 4000;

interface PoolEntry {
  readonly pool: Pool;
  readonly connections: number;
  lastUsedAtMs: number;
}

/** Connections to backend servers and to other hosts for forwarded calls. */
export interface Connections {
  /** Records how many connections a backend server accepts: the lower of its slots and its limit. */
  readonly recordConnectionLimit: (announcement: Announcement) => void;
  readonly toBackend: (endpoint: Endpoint) => Pool;
  readonly toHost: (endpoint: Endpoint) => Pool;
  /** Closes connections that have been unused for too long. */
  readonly closeIdle: () => void;
  readonly close: () => Promise<void>;
}

function createPool(origin: string, connections: number): Pool {
  return new Pool(origin, {
    connections,
    pipelining: 1,
    connect: { timeout: connectTimeoutMs },
    keepAliveTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/**
 * Creates the outgoing connections of a host.
 *
 * @param nowMs - returns the monotonic time
 */
export function createConnections(nowMs: () => number): Connections {
  const pools = new Map<string, PoolEntry>();
  const connectionLimits = new Map<string, number>();

  const getOrCreatePool = (origin: string, connections: number): Pool => {
    const known = pools.get(origin);
    if (known !== undefined && known.connections >= connections) {
      known.lastUsedAtMs = nowMs();
      return known.pool;
    }
    if (known !== undefined) known.pool.close().catch(() => undefined);
    const pool = createPool(origin, connections);
    pools.set(origin, { pool, connections, lastUsedAtMs: nowMs() });
    return pool;
  };

  return {
    recordConnectionLimit: (announcement) => {
      const { slots, connectionLimit, endpoint } = announcement;
      connectionLimits.set(originOf(endpoint), Math.min(slots, connectionLimit));
    },
    toBackend: (endpoint) => {
      const origin = originOf(endpoint);
      return getOrCreatePool(origin, connectionLimits.get(origin) ?? defaultConnections);
    },
    toHost: (endpoint) => getOrCreatePool(originOf(endpoint), connectionsPerHost),
    closeIdle: () => {
      for (const [origin, entry] of pools) {
        if (nowMs() - entry.lastUsedAtMs < maxIdleMs) continue;
        pools.delete(origin);
        connectionLimits.delete(origin);
        entry.pool.close().catch(() => undefined);
      }
    },
    close: async () => {
      await Promise.all([...pools.values()].map((entry) => entry.pool.destroy()));
      pools.clear();
    },
  };
}
