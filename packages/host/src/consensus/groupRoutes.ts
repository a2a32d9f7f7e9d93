import { faultsOf } from '@buckthornlug/protocol/common/faults.js';
import { signedReplicaChangeSchema } from '@buckthornlug/protocol/groups/replicaChangeSchema.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { Context, Hono } from 'hono';

import { failureResponse } from '../admin/adminListener.js';
import { formAnewSchema } from './consensusSchema.js';

import type { HostGroups } from './groups.js';

async function answerChange(groups: HostGroups, request: Context): Promise<Response> {
  const body: unknown = await request.req.json().catch(() => undefined);
  const parsed = signedReplicaChangeSchema.safeParse(body);
  if (!parsed.success) {
    const faults = faultsOf(parsed.error);
    return failureResponse(failure('BL1005', 'the change is not valid', { faults }));
  }
  if (parsed.data.groupId !== request.req.param('id')) {
    return failureResponse(failure('BL1005', 'the change is of another group'));
  }
  const changed = await groups.changer.request(parsed.data);
  return changed.isOk() ? Response.json(changed.value) : failureResponse(changed.error);
}

/**
 * Adds `GET /v1/groups`: term, leader, replicas and lag of each group,
 * `POST /v1/groups/:id/replicas`: a signed change of the replicas, and
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
  app.post('/v1/groups/:id/replicas', (request) => answerChange(groups, request));
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
