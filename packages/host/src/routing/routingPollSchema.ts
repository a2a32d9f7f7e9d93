import { registeredBackendSchema } from '@buckthornlug/protocol/registry/registrySchema.js';
import {
  routingChangesSchema,
  routingDocumentSchema,
} from '@buckthornlug/protocol/routing/routingSchema.js';
import { z } from 'zod';

/** Messages with which entry hosts keep their routing state up to date from control hosts. */

/** Versions of the routing state that a host holds. */
export const routingPositionSchema = z.strictObject({
  routingVersion: z.int().describe('-1 if the host holds no routing document.'),
  evacuationRevision: z.int().min(0),
  registryRevision: z.int().min(0),
});

export const routingPollSchema = routingPositionSchema.extend({
  waitMs: z.number().min(0).max(5000).describe('Longest time to wait for a change.'),
});

const evacuationSchema = z.strictObject({
  availabilityZone: z.string(),
  isEvacuated: z.boolean(),
  atMs: z.number(),
});

/** Changes that the polling host lacks. */
export const routingUpdateSchema = z.strictObject({
  position: routingPositionSchema,
  document: routingDocumentSchema.optional(),
  changes: routingChangesSchema
    .optional()
    .describe('In place of the document, to hosts that take changes and hold their base version.'),
  evacuations: z.array(evacuationSchema).optional(),
  backends: z.array(registeredBackendSchema),
  silentMs: z
    .number()
    .nullable()
    .describe(
      'Time since the moment before which the control host holds all that was committed; null if none is known.',
    ),
  wallMs: z
    .number()
    .describe('Wall time of the control host, to convert the times in the records.'),
});

/** Backend servers that reported to a control host recently, with the age of their last report. */
export const backendReportAgesSchema = z.array(
  z.strictObject({ backendId: z.string(), ageMs: z.number().min(0) }),
);

/** An incarnation of a backend server that announced its departure in an answer. */
export const leavingBackendSchema = z.strictObject({
  backendId: z.string(),
  bornAtMs: z.number(),
});

export type RoutingPosition = z.infer<typeof routingPositionSchema>;
export type RoutingPoll = z.infer<typeof routingPollSchema>;
export type RoutingUpdate = z.infer<typeof routingUpdateSchema>;
export type LeavingBackend = z.infer<typeof leavingBackendSchema>;
export type BackendReportAges = z.infer<typeof backendReportAgesSchema>;
