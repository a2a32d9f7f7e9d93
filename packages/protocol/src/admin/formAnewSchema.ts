import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** The request that gives up the state of a group: `POST /v1/groups/<group>/form-anew`. */

/** What an operator signs: consent to a group without its former state. */
export const formAnewBodySchema = z.strictObject({
  request: z.literal('formAnew'),
  team: idSchema,
  keyId: idSchema.describe('Key of the team that signs, or a cluster key.'),
  groupId: idSchema,
  lostId: z
    .string()
    .min(1)
    .describe(
      'What is given up: the registered formation of a ledger group, or the empty disk that is to form the control group.',
    ),
  acceptLoss: z.literal(true),
});

/** A signed request. */
export const formAnewSchema = formAnewBodySchema.extend({
  signature: z.string().describe('HMAC-SHA256 over the canonical JSON of the body, in base64url.'),
});

/** Answer to an accepted loss; a resend gets the same one. */
export const formAnewReplySchema = z.strictObject({
  groupId: idSchema,
  lostId: z.string(),
  lossAccepted: z.literal(true),
});

/** Answer of `GET /v1/groups/<group>/formation`. */
export const formationReplySchema = z.strictObject({
  groupId: idSchema,
  lostId: z.string().optional().describe('What a request to form the group anew has to name.'),
  givenUpIds: z.array(z.string()).describe('What was given up before, oldest first.'),
});

export type FormAnewBody = z.infer<typeof formAnewBodySchema>;
export type FormAnewRequest = z.infer<typeof formAnewSchema>;
export type FormAnewReply = z.infer<typeof formAnewReplySchema>;
export type FormationStatus = z.infer<typeof formationReplySchema>;
