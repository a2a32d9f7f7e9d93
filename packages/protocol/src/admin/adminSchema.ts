import { z } from 'zod';

import { endpointSchema, idSchema } from '../common/primitives.js';

/** Replies of the administration API that `buckthornlugctl` parses. */

/** One host in the reply to `GET /v1/hosts`. */
export const hostStatusSchema = z.object({
  hostId: idSchema,
  region: idSchema,
  availabilityZone: idSchema,
  state: z.enum(['alive', 'suspected', 'leaving', 'failed', 'left']),
  roles: z.array(z.string()),
  incarnation: z.number(),
  documentVersion: z.int().min(0),
});

/** Reply to `GET /v1/hosts`. */
export const hostsReplySchema = z.object({ hosts: z.array(hostStatusSchema) });

/** One backend server in the reply to `GET /v1/backends`, as seen by the owner of its pool. */
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
  /** Whether the owner holds a valid slot lease. */
  holdsLease: z.boolean(),
  /** Time since the last announcement. */
  silentMs: z.number().min(0),
});

/** Largest page of `GET /v1/backends`. */
export const maxBackendsPerPage = 500;

/** Query of `GET /v1/backends`. */
export const backendsQuerySchema = z.strictObject({
  limit: z.coerce.number().int().min(1).max(maxBackendsPerPage).default(maxBackendsPerPage),
  /** Cursor: the field `next` of the previous page. */
  after: z.string().max(256).optional(),
});

/** Reply to `GET /v1/backends`: one page, merged from all hosts that answered. */
export const backendsReplySchema = z.object({
  backends: z.array(backendStatusSchema),
  /** Hosts that did not answer the request for this page. */
  missingHosts: z.array(z.string()),
  /** Cursor of the next page; absent on the last page. */
  next: z.string().optional(),
});

/** One shift in the reply to `GET /v1/shifts`. */
export const shiftStatusSchema = z.object({
  service: idSchema,
  /** Region whose traffic is shifted, or which contains `availabilityZone`. */
  region: idSchema,
  /** Availability zone whose traffic is shifted; absent if the whole region is shifted. */
  availabilityZone: idSchema.optional(),
  movedPermille: z.int(),
  targetPermille: z.int(),
  step: z.int(),
  held: z.boolean(),
});

/** Reply to `GET /v1/shifts`. */
export const shiftsReplySchema = z.object({ shifts: z.array(shiftStatusSchema) });

/**
 * Reply to `GET /v1/status`: the queried host, its features, and the hosts with an older document.
 */
export const statusReplySchema = z.object({
  hostId: idSchema,
  documentVersion: z.int().min(0),
  behindHosts: z.array(z.object({ hostId: idSchema, documentVersion: z.int().min(0) })),
  features: z.record(z.string(), z.record(z.string(), z.unknown())),
});

/** Reply to `GET /v1/versions/:version`: whether the version is in force on every host. */
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
