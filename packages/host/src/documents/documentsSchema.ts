import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { committedStepSchema } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import { z } from 'zod';

/** Messages with which hosts poll each other for changed sections and shift steps. */

const versionSchema = z.int().min(0);

/** Versions of the document and of the shift steps that a host holds. */
export const controlVersionsSchema = z.object({
  version: versionSchema,
  shiftRevision: versionSchema,
});

/** Versions that one process of a host has in force. */
export const processVersionsSchema = controlVersionsSchema.extend({ incarnation: z.number() });

/** Versions in force on one host, which another host may forward. */
export const versionReportSchema = processVersionsSchema.extend({ hostId: idSchema });

/** Versions in force on several hosts. */
export const versionReportsSchema = z.array(versionReportSchema).max(500);

/** Query to a member of the control group for the hosts that have not confirmed a version. */
export const behindQuerySchema = z.object({ version: versionSchema });

/** Long poll for what a host lacks; the reply waits for a change if the host lacks nothing. */
export const pollSchema = z.object({
  /** Versions that the polling host has received. */
  have: controlVersionsSchema,
  /** Versions that the polling host confirms; may be lower than the received ones. */
  held: processVersionsSchema,
  waitMs: z.number().min(0).max(10_000),
});

/** Section with the version that last changed it; the control group has validated its content. */
const versionedSectionSchema = z.object({
  name: z.string(),
  version: versionSchema,
  content: z.unknown(),
});

/** Changed sections and shift steps that a host lacks. */
export const controlUpdateSchema = controlVersionsSchema.extend({
  sinceVersion: versionSchema,
  sections: z.array(versionedSectionSchema).readonly(),
  shiftSteps: z.array(committedStepSchema).readonly(),
});

/** Reply to a poll. */
export const pollReplySchema = z.object({
  /** What the polling host lacks; null if it lacks nothing. */
  update: controlUpdateSchema.nullable(),
  /** Time since the replying host was last in contact with the control group, in milliseconds. */
  silentMs: z.number().min(0),
});

export type Poll = z.infer<typeof pollSchema>;
export type PollReply = z.infer<typeof pollReplySchema>;
export type ProcessVersions = z.infer<typeof processVersionsSchema>;
export type VersionReport = z.infer<typeof versionReportSchema>;
