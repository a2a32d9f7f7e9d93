import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/**
 * `POST /v1/groups/<group>/form-anew`: accepts the loss of a group's state so that it can form again.
 */

/** Signed part of the request: consent to form the group without its previous state. */
export const formAnewBodySchema = z.strictObject({
  request: z.literal('formAnew'),
  team: idSchema,
  keyId: idSchema.describe('Key that signs the request: a team key or a cluster key.'),
  groupId: idSchema,
  lostId: z
    .string()
    .min(1)
    .describe(
      'State whose loss is accepted: the registered formation of a ledger group, or the empty disk that will form the control group.',
    ),
  acceptLoss: z.literal(true),
});

/** A signed request. */
export const formAnewSchema = formAnewBodySchema.extend({
  signature: z.string().describe('HMAC-SHA256 over the canonical JSON of the body, in base64url.'),
});

/** Reply to an accepted loss; a resent request gets the same reply. */
export const formAnewReplySchema = z.strictObject({
  groupId: idSchema,
  lostId: z.string(),
  lossAccepted: z.literal(true),
});

/** Reply to `GET /v1/groups/<group>/formation`. */
export const formationReplySchema = z.strictObject({
  groupId: idSchema,
  lostId: z
    .string()
    .optional()
    .describe('Value of `lostId` that a form-anew request has to contain.'),
  givenUpIds: z
    .array(z.string())
    .describe('Values of `lostId` whose loss was accepted, oldest first.'),
});

export type FormAnewBody = z.infer<typeof formAnewBodySchema>;
export type FormAnewRequest = z.infer<typeof formAnewSchema>;
export type FormAnewReply = z.infer<typeof formAnewReplySchema>;
export type FormationStatus = z.infer<typeof formationReplySchema>;
