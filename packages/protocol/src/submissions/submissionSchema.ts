import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Submissions of operators on the administration API: `POST /v1/submissions`. */

const submissionIdSchema = z
  .string()
  .regex(/^[A-Za-z0-9._-]{8,64}$/)
  .describe('Identity of the submission; the same when it is sent again.');

/** What a team signs: everything but the signature. */
export const submissionBodySchema = z.strictObject({
  submissionId: submissionIdSchema,
  team: idSchema,
  keyId: idSchema.describe('Key of the team that signs.'),
  baseVersions: z
    .record(z.string(), z.int().min(0))
    .describe('Version of each changed section that the edit is based on; 0 for a new one.'),
  sections: z
    .record(z.string(), z.unknown())
    .describe('New content of each changed section; null removes it.'),
});

/** A signed submission. */
export const submissionSchema = submissionBodySchema.extend({
  signature: z.string().describe('HMAC-SHA256 over the canonical JSON of the body, in base64url.'),
});

/** Answer to an accepted submission; a resend gets the same one. */
export const submissionReplySchema = z.strictObject({
  submissionId: submissionIdSchema,
  version: z.int().min(1).describe('Version of the document that holds the change.'),
  sectionVersions: z
    .record(z.string(), z.int().min(0))
    .describe('Versions of the changed sections; 0 for a removed one.'),
});

/** Answer of `GET /v1/versions/<version>`: where a version is in force. */
export const versionStatusSchema = z.strictObject({
  version: z.int().min(0),
  inForce: z.boolean().describe('Whether every live host has the version or a later one.'),
  behindHosts: z.array(z.strictObject({ hostId: idSchema, documentVersion: z.int().min(0) })),
});

export type SubmissionBody = z.infer<typeof submissionBodySchema>;
export type Submission = z.infer<typeof submissionSchema>;
export type SubmissionReply = z.infer<typeof submissionReplySchema>;
export type VersionStatus = z.infer<typeof versionStatusSchema>;
