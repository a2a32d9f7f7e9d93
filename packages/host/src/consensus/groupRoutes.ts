import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { Hono } from 'hono';

import { failureResponse } from '../admin/adminListener.js';
import { formAnewSchema } from './consensusSchema.js';

import type { HostGroups } from './groups.js';

/**
 * Adds `GET /v1/groups`: term, leader, replicas and lag of each group, and
 * `POST /v1/groups/:id/form-anew`: an operator accepts the loss of a group's state.
 *
 * @param app - administration API
 * @param groups - groups of the host
 */
export function registerGroupRoutes(app: Hono, groups: HostGroups): void {
  app.get('/v1/groups', async (request) => {
    const found = await Promise.all(groups.groupIds().map((id) => groups.describeAnywhere(id)));
    return request.json({ groups: found.flatMap((group) => (group.isOk() ? [group.value] : [])) });
  });
  app.post('/v1/groups/:id/form-anew', async (request) => {
    const body: unknown = await request.req.json().catch(() => undefined);
    if (!formAnewSchema.safeParse(body).success) {
      return failureResponse(failure('BL1005', 'the body must be {"acceptLoss":true}'));
    }
    const accepted = await groups.acceptLoss(request.req.param('id'));
    if (accepted.isErr()) return failureResponse(accepted.error);
    return request.json({ groupId: request.req.param('id'), lossAccepted: true });
  });
}
