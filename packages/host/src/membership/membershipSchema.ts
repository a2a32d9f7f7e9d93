import { endpointSchema, idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { z } from 'zod';

/** Messages of the membership between hosts. */

const stateSchema = z.enum(['alive', 'suspected', 'leaving', 'failed', 'left']);

const identitySchema = z.strictObject({
  hostId: idSchema,
  region: idSchema,
  availabilityZone: idSchema,
  roles: z.array(z.string()).readonly(),
  internal: endpointSchema,
  callers: endpointSchema,
  admin: endpointSchema,
});

const stampSchema = z.object({
  hostId: idSchema,
  incarnation: z.number(),
  refutation: z.int().min(0),
  state: stateSchema,
  documentVersion: z.int().min(0),
  shiftRevision: z.int().min(0),
});

const recordSchema = stampSchema.extend({
  ageMs: z.number().min(0),
  identity: identitySchema.optional(),
});

const baseSchema = z.object({
  from: stampSchema,
  to: idSchema,
  records: z.array(recordSchema).readonly(),
  heldOfYou: stampSchema.optional(),
});

const sequenceSchema = z.int().min(0);

/** One message; see `MemberMessage` of the core. */
export const memberMessageSchema = z.discriminatedUnion('kind', [
  baseSchema.extend({
    kind: z.literal('probe'),
    sequence: sequenceSchema,
    identity: identitySchema.optional(),
  }),
  baseSchema.extend({ kind: z.literal('ack'), sequence: sequenceSchema }),
  baseSchema.extend({
    kind: z.literal('probeRequest'),
    sequence: sequenceSchema,
    target: idSchema,
  }),
  baseSchema.extend({ kind: z.literal('gossip') }),
  baseSchema.extend({
    kind: z.literal('digest'),
    zones: z.record(idSchema, z.number()),
    isAnswer: z.boolean(),
  }),
  baseSchema.extend({
    kind: z.literal('sync'),
    identity: identitySchema,
    after: z.string(),
    zones: z.array(idSchema).readonly().optional(),
  }),
  baseSchema.extend({
    kind: z.literal('syncReply'),
    zones: z.array(idSchema).readonly().optional(),
    continueAfter: z.string().optional(),
  }),
]);
