import { groupByZone } from '@buckthornlug/core/lists/groupByZone.js';
import { backendsQuerySchema } from '@buckthornlug/protocol/admin/adminSchema.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { Hono } from 'hono';
import { okAsync } from 'neverthrow';

import { failureResponse } from '../admin/adminResponses.js';
import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { listOtherHosts } from '../runtime/listOtherHosts.js';
import { readBackendsPage, type BackendsSources, type ZoneHosts } from './backendsPage.js';

/** Zone of hosts of which only the address is known so far. */
const unknownZone = '';

/** Lists the entry hosts by availability zone, this host included. */
function listEntryZones({ settings }: HostContext, { membership }: HostParts): ZoneHosts[] {
  const others = listOtherHosts(membership, settings).map((hostId) => {
    const { roles, availabilityZone = unknownZone } = membership.find(hostId) ?? {};
    return { hostId, roles, availabilityZone };
  });
  const zones = groupByZone(
    [settings, ...others],
    ({ roles }) => roles === undefined || roles.includes('entry'),
  );
  return [...zones].map(([availabilityZone, hosts]) => ({
    availabilityZone,
    hostIds: hosts.map(({ hostId }) => hostId),
  }));
}

/**
 * Registers `GET /v1/backends`: pages of the backend servers as their pool owners see them, with
 * the hosts that did not answer.
 *
 * @param app - administration API
 */
export function registerBackendsRoutes(app: Hono, sources: BackendsSources): void {
  app.get('/v1/backends', async (context) => {
    const query = backendsQuerySchema.safeParse(context.req.query());
    if (query.success) return context.json(await readBackendsPage(sources, query.data));
    return failureResponse(failure('BL3010', 'expected: limit (a whole number) and after'));
  });
}

/** Serves the list of the backend servers of all entry hosts; runs on every host. */
export const backendsFeature: Feature = {
  name: 'backends',
  isEnabled: () => true,
  start: (context, parts) => {
    const { hostId } = context.settings;
    parts.adminRoutes.push((app) =>
      registerBackendsRoutes(app, {
        zones: () => listEntryZones(context, parts),
        read: (otherId) => {
          if (otherId === hostId) return okAsync(parts.rpcHandlers.slots?.backends() ?? []);
          return parts.peers.request(otherId, (client, signal) =>
            client.slots.backends.query(undefined, { signal }),
          );
        },
      }),
    );
    return okAsync({ name: 'backends', stopSteps: {} });
  },
};
