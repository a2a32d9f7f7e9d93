import { formAnewSchema } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { faultsOf } from '@buckthornlug/protocol/common/faults.js';
import { signedReplicaChangeSchema } from '@buckthornlug/protocol/groups/replicaChangeSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Context, Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';
import type { z } from 'zod';

import { failureResponse } from '../admin/adminResponses.js';
import type { HostGroups } from './groups.js';
import type { LossAcceptance } from './lossAcceptance.js';

async function respond(result: ResultAsync<unknown, Failure>): Promise<Response> {
  const settled = await result;
  return settled.isOk() ? Response.json(settled.value) : failureResponse(settled.error);
}

/**
 * Handles a signed request for the group that the path names; BL1005 if it is malformed or names
 * another group.
 */
async function respondToSigned<Body extends { readonly groupId: string }>(
  schema: z.ZodType<Body>,
  request: Context,
  execute: (body: Body) => ResultAsync<unknown, Failure>,
): Promise<Response> {
  const body: unknown = await request.req.json().catch(() => undefined);
  const parsed = schema.safeParse(body);
  if (!parsed.success) {
    const faults = faultsOf(parsed.error);
    return failureResponse(failure('BL1005', 'the request is not valid', { faults }));
  }
  if (parsed.data.groupId !== request.req.param('id')) {
    return failureResponse(failure('BL1005', 'the path names another group'));
  }
  return respond(execute(parsed.data));
}

/**
 * Registers the routes of replicated groups:
 * - `GET /v1/groups`: term, leader, replicas and lag of each group;
 * - `GET /v1/groups/:id/formation`: identities that a request to form the group anew has to name;
 * - `POST /v1/groups/:id/replicas`: a signed change of the replicas;
 * - `POST /v1/groups/:id/form-anew`: an operator accepts the loss of a group's state.
 */
export function registerGroupRoutes(
  app: Hono,
  groups: HostGroups,
  lossAcceptance: LossAcceptance,
): void {
  app.get('/v1/groups', async (request) => {
    const descriptions = await Promise.all(
      groups.groupIds().map((id) => groups.describeAnywhere(id)),
    );
    return request.json({
      groups: descriptions.flatMap((group) => (group.isOk() ? [group.value] : [])),
    });
  });
  app.get('/v1/groups/:id/formation', (request) =>
    respond(lossAcceptance.getFormationStatus(request.req.param('id'))),
  );
  app.post('/v1/groups/:id/form-anew', (request) =>
    respondToSigned(formAnewSchema, request, (body) => lossAcceptance.accept(body)),
  );
  app.post('/v1/groups/:id/replicas', (request) =>
    respondToSigned(signedReplicaChangeSchema, request, (body) =>
      groups.replicaChanger.request(body),
    ),
  );
}
