import type { Hono } from 'hono';

import type { HostRecord, MembershipView } from '../runtime/hostTypes.js';

function compareByZoneAndId(left: HostRecord, right: HostRecord): number {
  const leftKey = `${left.region} ${left.availabilityZone} ${left.hostId}`;
  const rightKey = `${right.region} ${right.availabilityZone} ${right.hostId}`;
  return leftKey < rightKey ? -1 : 1;
}

/**
 * Registers `GET /v1/hosts`, which lists the hosts in the membership of this host.
 */
export function registerHostsRoutes(app: Hono, membership: MembershipView): void {
  app.get('/v1/hosts', (context) =>
    context.json({
      seenBy: membership.self().hostId,
      hosts: [...membership.hosts()].sort(compareByZoneAndId),
    }),
  );
}
