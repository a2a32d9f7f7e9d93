import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { z } from 'zod';

/** Messages about credits between pool owners. */

const maxCreditsPerRequest = 256;

/** Request for credits of one rank. */
export const creditRequestSchema = z.strictObject({
  service: idSchema,
  rank: z.int().min(0).max(7),
  want: z.int().min(1).max(maxCreditsPerRequest),
  fromZone: idSchema,
});

/** Granted credits, possibly none. */
export const creditGrantSchema = z.strictObject({
  creditIds: z.array(z.string()),
  ttlMs: z.number().describe('Lifetime of the credits, from the time of the grant.'),
  expectedWaitMs: z.number().describe('Expected wait of a call of the rank in the granting pool.'),
});

export type CreditRequest = z.infer<typeof creditRequestSchema>;
export type CreditGrant = z.infer<typeof creditGrantSchema>;
