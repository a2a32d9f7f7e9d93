import { adminFeature } from '@buckthornlug/host/admin/adminFeature.js';
import { callsFeature } from '@buckthornlug/host/calls/callsFeature.js';
import { membershipFeature } from '@buckthornlug/host/membership/membershipFeature.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { backendsFeature } from '@buckthornlug/host/slots/backendsFeature.js';
import { slotsFeature } from '@buckthornlug/host/slots/slotsFeature.js';
import { Agent, request } from 'undici';

import { createFleetSettings, type FleetHost } from '../fakes/hostSettings.js';
import { valueOf } from '../fakes/results.js';
import {
  createTestDocument,
  inForce,
  testHostName,
  type TestDocumentOptions,
} from '../fakes/testDocument.js';

/** Hosts with membership, slots and the path of calls, in this process. */
export interface SlotsFleet {
  readonly hosts: readonly RunningHost[];
  /** Sends a call to a host; `answered` or the code of the refusal. */
  readonly call: (host: number, path?: string) => Promise<string>;
  readonly stop: () => Promise<void>;
}

const features = [membershipFeature, slotsFeature, backendsFeature, callsFeature, adminFeature];

/**
 * Starts hosts.
 *
 * @param places - places of the hosts
 * @param documentOptions - fields of the document to change
 */
export async function startSlotsFleet(
  places: readonly FleetHost[],
  documentOptions: TestDocumentOptions = {},
): Promise<SlotsFleet> {
  const agent = new Agent({ connections: 256 });
  const hosts: RunningHost[] = [];
  const document = inForce(createTestDocument(documentOptions));
  for (const settings of createFleetSettings(places)) {
    hosts.push(valueOf(await startHost(settings, { document, features })));
  }
  return {
    hosts,
    call: async (host, path = '/catalogue') => {
      const { address, port } = hosts[host]!.context.settings.listen.callers;
      const reply = await request(`http://${address}:${port}${path}`, {
        dispatcher: agent,
        headers: { host: testHostName },
      });
      await reply.body.text().catch(() => '');
      const code = reply.headers['x-buckthornlug-code'];
      return typeof code === 'string' ? code : 'answered';
    },
    stop: async () => {
      await agent.destroy();
      await Promise.all(hosts.map((host) => host.stop()));
    },
  };
}
