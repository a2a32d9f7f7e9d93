import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { z } from 'zod';

/** Messages about credits between pool owners. */

const maxCreditsPerRequest = 256;

/** Request for credits. */
export const creditRequestSchema = z.strictObject({
  service: idSchema,
  rank: z.int().min(0).max(7),
  want: z.int().min(1).max(maxCreditsPerRequest),
  fromZone: idSchema,
});

/** Granted credits. */
export const creditGrantSchema = z.strictObject({
  creditIds: z.array(z.string()),
  ttlMs: z.number().describe('Life of the credits from when they were granted.'),
  expectedWaitMs: z.number().describe('Expected wait of such a call.'),
});

export type CreditRequest = z.infer<typeof creditRequestSchema>;
export type CreditGrant = z.infer<typeof creditGrantSchema>;
