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

const maxResends = 50;
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
  /** Sends an order again, repeatedly while its refusal says that its state cannot be told now. */
  readonly resend: (host: number, identity: string) => Promise<TestReply>;
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
  return {
    ...fleet,
    order,
    resend: async (host, identity) => {
      for (let resends = 1; ; resends += 1) {
        const reply = await order(host, identity);
        const isTold = reply.status !== 503 || reply.execution !== 'unknown';
        if (isTold || resends === maxResends) return reply;
        await delay(resendDelayMs);
      }
    },
    stop: async () => {
      await fleet.stop();
      await rm(dataFolder, { recursive: true });
    },
  };
}
