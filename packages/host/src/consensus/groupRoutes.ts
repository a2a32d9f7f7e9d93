import type { Hono } from 'hono';

import type { HostGroups } from './groups.js';

/**
 * Adds `GET /v1/groups`: term, leader, replicas and lag of each group.
 *
 * @param app - administration API
 * @param groups - groups of the host
 */
export function registerGroupRoutes(app: Hono, groups: HostGroups): void {
  app.get('/v1/groups', async (request) => {
    const found = await Promise.all(groups.groupIds().map((id) => groups.describeAnywhere(id)));
    return request.json({ groups: found.flatMap((group) => (group.isOk() ? [group.value] : [])) });
  });
}
