import {
  announcementReplySchema,
  type Announcement,
  type AnnouncementReply,
} from '@buckthornlug/protocol/announce/announceSchema.js';
import { announceKeyHeader, announcePath } from '@buckthornlug/protocol/calls/callHeaders.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { Agent, request } from 'undici';

const requestTimeoutMs = 500;
const firstRenewMs = 300;

/** What an announcer is given. */
export interface AnnouncerOptions {
  /** Hosts to turn to while no reply names one. */
  readonly hosts: readonly Endpoint[];
  readonly key: { readonly id: string; readonly secret: string };
  /** The announcement without its echo; undefined skips a renewal. */
  readonly describe: () => Omit<Announcement, 'lease'> | undefined;
  readonly renewMs: number | undefined;
  readonly onResult: (isOk: boolean) => void;
}

/** Renews the announcement of a fake backend server. */
export interface Announcer {
  /** Announces at once; resolves when the host has replied or refused. */
  readonly announceNow: () => Promise<boolean>;
  readonly lastReply: () => AnnouncementReply | undefined;
  readonly stop: () => Promise<void>;
}

/**
 * Starts to announce.
 *
 * @param options - hosts, key and contents
 */
export function startAnnouncer(options: AnnouncerOptions): Announcer {
  const agent = new Agent({ connections: 1, connect: { timeout: requestTimeoutMs } });
  let lastReply: AnnouncementReply | undefined;
  let lastSentAtMs = 0;
  let repliedEndpoint: Endpoint | undefined;
  let failuresInRow = 0;
  let turn = 0;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;

  const target = (): Endpoint | undefined => {
    if (lastReply !== undefined && failuresInRow === 0) return lastReply.announceTo;
    turn += 1;
    return options.hosts[turn % options.hosts.length];
  };

  const send = async (content: Omit<Announcement, 'lease'>, endpoint: Endpoint) => {
    const sentAtMs = performance.now();
    const echo =
      lastReply === undefined
        ? {}
        : {
            lease: {
              hostId: lastReply.hostId,
              token: lastReply.token,
              ageMs: sentAtMs - lastSentAtMs,
            },
          };
    const isSameHost = JSON.stringify(endpoint) === JSON.stringify(repliedEndpoint);
    if (isSameHost) lastSentAtMs = sentAtMs;
    const reply = await request(`${originOf(endpoint)}${announcePath}`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        [announceKeyHeader]: `${options.key.id}:${options.key.secret}`,
      },
      body: JSON.stringify({ ...content, ...echo }),
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    const text = await reply.body.text();
    if (reply.statusCode !== 200) return false;
    lastReply = announcementReplySchema.parse(JSON.parse(text));
    lastSentAtMs = sentAtMs;
    repliedEndpoint = endpoint;
    return true;
  };

  const announceNow = async (): Promise<boolean> => {
    const content = options.describe();
    const endpoint = target();
    if (content === undefined || endpoint === undefined) return false;
    const isOk = await send(content, endpoint).catch(() => false);
    failuresInRow = isOk ? 0 : failuresInRow + 1;
    options.onResult(isOk);
    return isOk;
  };

  const renew = async (): Promise<void> => {
    await announceNow();
    if (isStopped) return;
    const intervalMs = options.renewMs ?? lastReply?.renewAfterMs ?? firstRenewMs;
    timer = setTimeout(renew, failuresInRow === 0 ? intervalMs : firstRenewMs);
  };

  renew().catch(() => options.onResult(false));
  return {
    announceNow,
    lastReply: () => lastReply,
    stop: async () => {
      isStopped = true;
      clearTimeout(timer);
      await agent.destroy();
    },
  };
}
