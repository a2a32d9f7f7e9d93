import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { committedStepSchema } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import { z } from 'zod';

/** Messages by which hosts get changed sections and steps of shifts from each other. */

const versionSchema = z.int().min(0);

/** How far a host has come. */
export const controlVersionsSchema = z.object({
  version: versionSchema,
  shiftRevision: versionSchema,
});

/** What a process has in force. */
export const processVersionsSchema = controlVersionsSchema.extend({ incarnation: z.number() });

/** Versions of one host, reported on its behalf. */
export const versionReportSchema = processVersionsSchema.extend({ hostId: idSchema });

/** Versions of several hosts. */
export const versionReportsSchema = z.array(versionReportSchema).max(500);

/** Hosts that have not confirmed a version, as a member of the control group knows. */
export const behindQuerySchema = z.object({ version: versionSchema });

/** Asks for what a host lacks; waits for news where it lacks nothing. */
export const pollSchema = z.object({
  have: controlVersionsSchema,
  /** What the asking host confirms; may be behind what it has received. */
  held: processVersionsSchema,
  waitMs: z.number().min(0).max(10_000),
});

/** One section with the version that last changed it; its content was checked by the control group. */
const versionedSectionSchema = z.object({
  name: z.string(),
  version: versionSchema,
  content: z.unknown(),
});

/** Everything that a host lacks. */
export const controlUpdateSchema = controlVersionsSchema.extend({
  sinceVersion: versionSchema,
  sections: z.array(versionedSectionSchema).readonly(),
  shiftSteps: z.array(committedStepSchema).readonly(),
});

/** Answer to a poll. */
export const pollReplySchema = z.object({
  /** What the asking host lacks; null where it lacks nothing. */
  update: controlUpdateSchema.nullable(),
  /** Time since the answering host was in contact with the control group. */
  silentMs: z.number().min(0),
});

export type Poll = z.infer<typeof pollSchema>;
export type PollReply = z.infer<typeof pollReplySchema>;
export type ProcessVersions = z.infer<typeof processVersionsSchema>;
export type VersionReport = z.infer<typeof versionReportSchema>;
