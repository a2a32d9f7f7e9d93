import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Submissions of operators to the administration API: `POST /v1/submissions`. */

const submissionIdSchema = z
  .string()
  .regex(/^[A-Za-z0-9._-]{8,64}$/)
  .describe('ID of the submission; a resent submission has the same ID.');

/** Signed part of a submission: all fields except the signature. */
export const submissionBodySchema = z.strictObject({
  submissionId: submissionIdSchema,
  team: idSchema,
  keyId: idSchema.describe('Key of the team that signs the submission.'),
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

/** Reply to an accepted submission; a resent submission gets the same reply. */
export const submissionReplySchema = z.strictObject({
  submissionId: submissionIdSchema,
  version: z.int().min(1).describe('Version of the document that contains the change.'),
  sectionVersions: z
    .record(z.string(), z.int().min(0))
    .describe('Versions of the changed sections; 0 for a removed one.'),
});

/**
 * Reply to `GET /v1/versions/<version>`: whether a version is in force, and hosts with an older one.
 */
export const versionStatusSchema = z.strictObject({
  version: z.int().min(0),
  inForce: z.boolean().describe('Whether every live host has the version or a later one.'),
  behindHosts: z.array(z.strictObject({ hostId: idSchema, documentVersion: z.int().min(0) })),
});

export type SubmissionBody = z.infer<typeof submissionBodySchema>;
export type Submission = z.infer<typeof submissionSchema>;
export type SubmissionReply = z.infer<typeof submissionReplySchema>;
export type VersionStatus = z.infer<typeof versionStatusSchema>;
