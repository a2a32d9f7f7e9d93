import { z } from 'zod';

import { endpointSchema, idSchema } from '../common/primitives.js';

/** Answers of the administration API that are read by the operators' tool. */

/** One host of `GET /v1/hosts`. */
export const hostStatusSchema = z.object({
  hostId: idSchema,
  region: idSchema,
  availabilityZone: idSchema,
  state: z.enum(['alive', 'suspected', 'leaving', 'failed', 'left']),
  roles: z.array(z.string()),
  incarnation: z.number(),
  documentVersion: z.int().min(0),
});

/** `GET /v1/hosts`. */
export const hostsReplySchema = z.object({ hosts: z.array(hostStatusSchema) });

/** One backend server of `GET /v1/backends`, as its pool owner sees it. */
export const backendStatusSchema = z.object({
  backendId: idSchema,
  service: idSchema,
  availabilityZone: idSchema,
  endpoint: endpointSchema,
  state: z.string(),
  ownerHostId: idSchema,
  slots: z.int(),
  usedSlots: z.int(),
  ejected: z.boolean(),
  /** Whether the owner may use the slots now. */
  holdsLease: z.boolean(),
  /** Time since the last announcement. */
  silentMs: z.number().min(0),
});

/** Backend servers on a page of `GET /v1/backends` at most. */
export const maxBackendsPerPage = 500;

/** Query of `GET /v1/backends`. */
export const backendsQuerySchema = z.strictObject({
  limit: z.coerce.number().int().min(1).max(maxBackendsPerPage).default(maxBackendsPerPage),
  /** Where the page before ended: its field `next`. */
  after: z.string().max(256).optional(),
});

/** `GET /v1/backends`: one page out of all hosts that answered. */
export const backendsReplySchema = z.object({
  backends: z.array(backendStatusSchema),
  /** Hosts asked for this page that did not answer. */
  missingHosts: z.array(z.string()),
  /** Where the next page starts; absent on the last one. */
  next: z.string().optional(),
});

/** One shift of `GET /v1/shifts`. */
export const shiftStatusSchema = z.object({
  service: idSchema,
  /** Region whose traffic moves, or in which the availability zone lies. */
  region: idSchema,
  /** Availability zone whose traffic moves; absent where that of the whole region does. */
  availabilityZone: idSchema.optional(),
  movedPermille: z.int(),
  targetPermille: z.int(),
  step: z.int(),
  held: z.boolean(),
});

/** `GET /v1/shifts`. */
export const shiftsReplySchema = z.object({ shifts: z.array(shiftStatusSchema) });

/** `GET /v1/status`: the host asked, its features and who is behind. */
export const statusReplySchema = z.object({
  hostId: idSchema,
  documentVersion: z.int().min(0),
  behindHosts: z.array(z.object({ hostId: idSchema, documentVersion: z.int().min(0) })),
  features: z.record(z.string(), z.record(z.string(), z.unknown())),
});

/** `GET /v1/versions/:version`: whether a version is in force everywhere. */
export const versionReplySchema = z.object({
  version: z.int().min(0),
  inForce: z.boolean(),
  /** Hosts that have not confirmed the version. */
  behindHosts: z.array(z.object({ hostId: idSchema, documentVersion: z.int().min(0) })),
});

export type VersionReply = z.infer<typeof versionReplySchema>;
export type HostStatus = z.infer<typeof hostStatusSchema>;
export type BackendsQuery = z.output<typeof backendsQuerySchema>;
export type BackendsReply = z.infer<typeof backendsReplySchema>;
export type BackendStatus = z.infer<typeof backendStatusSchema>;
export type ShiftStatus = z.infer<typeof shiftStatusSchema>;
export type StatusReply = z.infer<typeof statusReplySchema>;
