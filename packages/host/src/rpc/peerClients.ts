import { formatHybridTime } from '@buckthornlug/core/timeline/hybridClock.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { createTRPCClient, type TRPCClient } from '@trpc/client';
import { errAsync, ResultAsync } from 'neverthrow';
import { Agent } from 'undici';

import { observeClockHeader } from '../timeline/clockHeader.js';
import type { TimelineRecorder } from '../timeline/timelineRecorder.js';
import type { AppRouter } from './appRouter.js';
import type { RequestAuth } from './requestAuth.js';
import { createRequestLink } from './requestLink.js';

/** Largest number of connections to one host. */
const connectionsPerHost = 16;
const keepAliveMs = 30_000;

/** Typed client of the procedures of one host. */
export type PeerClient = TRPCClient<AppRouter>;

/** Sends a request to a host; `signal` aborts it at its time limit and must be passed on. */
export type PeerRequest<Reply> = (client: PeerClient, signal: AbortSignal) => Promise<Reply>;

/** Requests to other hosts. */
export interface PeerClients {
  /** Internal address at which this host reaches another host. */
  readonly addressOf: (hostId: string) => Endpoint | undefined;
  /**
   * Sends a request to a host.
   *
   * @param send - calls one procedure of the client with the signal
   * @param timeoutMs - time limit; `timing.rpcTimeoutMs` if absent
   * @returns the reply, or BL6003 for any failure
   */
  readonly request: <Reply>(
    hostId: string,
    send: PeerRequest<Reply>,
    timeoutMs?: number,
  ) => ResultAsync<Reply, Failure>;
  readonly close: () => Promise<void>;
}

/**
 * Formats an endpoint as the origin of a URL.
 */
export function originOf(endpoint: Endpoint): string {
  const address = endpoint.address.includes(':') ? `[${endpoint.address}]` : endpoint.address;
  return `http://${address}:${endpoint.port}`;
}

/** Settings, authentication, clock and addresses that the clients use. */
export interface PeerClientParts {
  /** Settings with the addresses of peers and the time limits. */
  readonly settings: Settings;
  /** Signs the requests. */
  readonly auth: RequestAuth;
  /** Hybrid clock that is exchanged with each request and reply. */
  readonly timeline: Pick<TimelineRecorder, 'readClock' | 'observeClock'>;
  /** Internal address of a host according to the membership. */
  readonly memberAddress: (hostId: string) => Endpoint | undefined;
}

/** Creates the clients of a host. */
export function createPeerClients(parts: PeerClientParts): PeerClients {
  const { settings, auth, timeline, memberAddress } = parts;
  const agent = new Agent({ connections: connectionsPerHost, keepAliveTimeout: keepAliveMs });
  const observeClock = (clock: string | string[] | undefined) =>
    observeClockHeader(timeline, clock);
  const clients = new Map<string, PeerClient>();
  const seedAddresses = new Map(settings.peers.map((peer) => [peer.hostId, peer.internal]));

  const getOrCreateClient = (hostId: string, origin: string): PeerClient => {
    const key = `${hostId} ${origin}`;
    const known = clients.get(key);
    if (known !== undefined) return known;
    const client = createTRPCClient<AppRouter>({
      links: [
        createRequestLink({
          dispatcher: agent,
          origin,
          toHostId: hostId,
          sign: auth.sign,
          readClock: () => formatHybridTime(timeline.readClock()),
          observeClock,
        }),
      ],
    });
    clients.set(key, client);
    return client;
  };

  const addressOf: PeerClients['addressOf'] = (hostId) =>
    settings.peerAddresses[hostId] ?? memberAddress(hostId) ?? seedAddresses.get(hostId);

  return {
    addressOf,
    request: (hostId, send, timeoutMs) => {
      const endpoint = addressOf(hostId);
      if (endpoint === undefined) {
        return errAsync(failure('BL6003', `no address of host "${hostId}" is known`));
      }
      const timeoutController = new AbortController();
      const limitMs = timeoutMs ?? settings.timing.rpcTimeoutMs;
      const timer = setTimeout(
        () => timeoutController.abort(new Error(`no reply in ${limitMs} ms`)),
        limitMs,
      );
      const origin = originOf(endpoint);
      const reply = send(getOrCreateClient(hostId, origin), timeoutController.signal).finally(() =>
        clearTimeout(timer),
      );
      return ResultAsync.fromPromise(reply, (error) => {
        const problem = error instanceof Error ? error.message : String(error);
        return failure('BL6003', `${origin}: ${problem}`);
      });
    },
    close: () => agent.destroy(),
  };
}
