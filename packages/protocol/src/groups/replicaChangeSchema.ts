import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Changes of a group's replicas by operators: `POST /v1/groups/<group>/replicas`. */

const replicaIdSchema = z.string().regex(/^[^/]+\/[^/]+$/);

/** What is to be changed; one replica at a time. */
export const replicaChangeSchema = z.discriminatedUnion('change', [
  z.strictObject({ change: z.literal('add'), hostId: idSchema }),
  z.strictObject({ change: z.literal('remove'), replicaId: replicaIdSchema }),
]);

/** What an operator signs: everything but the signature. */
export const replicaChangeBodySchema = z.strictObject({
  groupId: idSchema,
  change: replicaChangeSchema,
  baseReplicaIds: z
    .array(replicaIdSchema)
    .min(1)
    .max(64)
    .describe('Replicas of the group that the change is based on.'),
  issuedAtMs: z.number().describe('Wall time of the operator.'),
});

/** A signed change. */
export const signedReplicaChangeSchema = replicaChangeBodySchema.extend({
  signature: z.string().describe('`<key id>:<HMAC-SHA256 over the canonical JSON of the body>`.'),
});

/** One replica of `GET /v1/groups`, as far as the operators' tool reads it. */
export const replicaViewSchema = z.object({
  replicaId: z.string(),
  hostId: idSchema,
  role: z.enum(['voter', 'learner']),
  lagEntries: z.int().optional(),
});

/** `GET /v1/groups`, as far as the operators' tool reads it. */
export const groupsReplySchema = z.object({
  groups: z.array(
    z.object({
      groupId: idSchema,
      leaderId: idSchema.optional(),
      replicas: z.array(replicaViewSchema).optional(),
    }),
  ),
});

/** Answer to a change: the replicas once it is committed. */
export const replicaChangeReplySchema = z.object({
  groupId: idSchema,
  replicas: z.array(replicaViewSchema),
});

export type ReplicaChange = z.infer<typeof replicaChangeSchema>;
export type ReplicaChangeBody = z.infer<typeof replicaChangeBodySchema>;
export type SignedReplicaChange = z.infer<typeof signedReplicaChangeSchema>;
export type ReplicaView = z.infer<typeof replicaViewSchema>;
export type ReplicaChangeReply = z.infer<typeof replicaChangeReplySchema>;
