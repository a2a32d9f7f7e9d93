import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { features } from '@buckthornlug/host/features.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import {
  startCallFleet,
  type CallFleet,
  type CallFleetOptions,
  type TestReply,
} from '../calls/callFleet.js';
import { createTestDocument, inForce, testIdentityHeader } from '../fakes/testDocument.js';

const maxOrders = 50;
const resendDelayMs = 100;
const defaultZones = ['lagos-a', 'lagos-b', 'abuja-a'];

/** What a test starts: backend servers, and the zones of the hosts where it is not one host in each. */
export interface OnceCallFleetOptions extends Pick<CallFleetOptions, 'backendHosts' | 'meanMs'> {
  readonly zones?: readonly string[];
}

/** Three hosts with a ledger group and their backend servers. */
export interface OnceCallFleet extends CallFleet {
  /** Sends an order with its identity through a host. */
  readonly order: (host: number, identity: string, body?: string) => ReturnType<CallFleet['call']>;
  /** Sends an order until a reply ends it; gives the last reply after fifty. */
  readonly orderUntil: (
    host: number,
    identity: string,
    isOver: (reply: TestReply) => boolean,
    body?: string,
  ) => Promise<TestReply>;
  /** Sends an order again, repeatedly while its refusal says that its state cannot be told now. */
  readonly resend: (host: number, identity: string) => Promise<TestReply>;
}

/** Whether a backend server's answer came. */
export function isAnswered({ result }: TestReply): boolean {
  return result === 'answered';
}

/**
 * Starts hosts that run once-only work.
 *
 * @param options - backend servers and zones
 */
export async function startOnceCallFleet(options: OnceCallFleetOptions): Promise<OnceCallFleet> {
  const { zones = defaultZones, ...backends } = options;
  const dataFolder = await mkdtemp(join(tmpdir(), 'bl-once-'));
  const fleet = await startCallFleet({
    hosts: zones.map((availabilityZone, index) => ({
      hostId: `host-${index}`,
      region: availabilityZone.startsWith('lagos') ? 'lagos' : 'abuja',
      availabilityZone,
      roles: ['entry', 'control'] satisfies Settings['roles'],
    })),
    overrides: {
      dataFolder,
      groups: [{ id: 'ledger-a', members: ['host-0', 'host-1', 'host-2'] }],
      timing: { electionTimeoutMs: 300, heartbeatMs: 50 },
    },
    features,
    document: inForce(createTestDocument({ timeLimitMs: 4000 })),
    ...backends,
  });
  const order: OnceCallFleet['order'] = (host, identity, body = 'one pallet') =>
    fleet.call(host, '/orders', {
      method: 'POST',
      headers: { [testIdentityHeader]: identity },
      body,
    });
  const orderUntil: OnceCallFleet['orderUntil'] = async (host, identity, isOver, body) => {
    for (let orders = 1; ; orders += 1) {
      const reply = await order(host, identity, body);
      if (isOver(reply) || orders === maxOrders) return reply;
      await delay(resendDelayMs);
    }
  };
  return {
    ...fleet,
    order,
    orderUntil,
    resend: (host, identity) =>
      orderUntil(
        host,
        identity,
        ({ status, execution }) => status !== 503 || execution !== 'unknown',
      ),
    stop: async () => {
      await fleet.stop();
      await rm(dataFolder, { recursive: true });
    },
  };
}

/** Number of replies by result and proven execution. */
export function countEnds(replies: readonly TestReply[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { result, execution } of replies) {
    const end = `${result} ${execution}`;
    counts[end] = (counts[end] ?? 0) + 1;
  }
  return counts;
}
