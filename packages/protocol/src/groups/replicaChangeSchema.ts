import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Replica changes requested by operators: `POST /v1/groups/<group>/replicas`. */

const replicaIdSchema = z.string().regex(/^[^/]+\/[^/]+$/);

/** The requested change; adds or removes one replica. */
export const replicaChangeSchema = z.discriminatedUnion('change', [
  z.strictObject({ change: z.literal('add'), hostId: idSchema }),
  z.strictObject({ change: z.literal('remove'), replicaId: replicaIdSchema }),
]);

/** Signed part of a replica change: all fields except the signature. */
export const replicaChangeBodySchema = z.strictObject({
  groupId: idSchema,
  change: replicaChangeSchema,
  baseReplicaIds: z
    .array(replicaIdSchema)
    .min(1)
    .max(64)
    .describe('Replicas that the change is based on; it is refused if the group has others.'),
  issuedAtMs: z.number().describe('Wall time at which the operator issued the change.'),
});

/** A signed change. */
export const signedReplicaChangeSchema = replicaChangeBodySchema.extend({
  signature: z.string().describe('`<key id>:<HMAC-SHA256 over the canonical JSON of the body>`.'),
});

/** One replica in the reply to `GET /v1/groups`, with the fields that `buckthornlugctl` reads. */
export const replicaViewSchema = z.object({
  replicaId: z.string(),
  hostId: idSchema,
  role: z.enum(['voter', 'learner']),
  lagEntries: z.int().optional(),
});

/** Reply to `GET /v1/groups`, with the fields that `buckthornlugctl` reads. */
export const groupsReplySchema = z.object({
  groups: z.array(
    z.object({
      groupId: idSchema,
      leaderId: idSchema.optional(),
      replicas: z.array(replicaViewSchema).optional(),
    }),
  ),
});

/** Reply to a committed change: the replicas after it. */
export const replicaChangeReplySchema = z.object({
  groupId: idSchema,
  replicas: z.array(replicaViewSchema),
});

export type ReplicaChange = z.infer<typeof replicaChangeSchema>;
export type ReplicaChangeBody = z.infer<typeof replicaChangeBodySchema>;
export type SignedReplicaChange = z.infer<typeof signedReplicaChangeSchema>;
export type ReplicaView = z.infer<typeof replicaViewSchema>;
export type ReplicaChangeReply = z.infer<typeof replicaChangeReplySchema>;
