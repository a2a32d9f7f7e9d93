import { z } from 'zod';

import { endpointSchema, idSchema } from '../common/primitives.js';

/** Reply to a look-up: the hosts to call for a service, in order of preference. */
export const lookupReplySchema = z.strictObject({
  service: idSchema,
  documentVersion: z.int().min(0),
  ttlMs: z.number().describe('Time for which the answer may be cached.'),
  hosts: z.array(endpointSchema.extend({ hostId: idSchema, availabilityZone: idSchema })),
});

export type LookupReply = z.infer<typeof lookupReplySchema>;
