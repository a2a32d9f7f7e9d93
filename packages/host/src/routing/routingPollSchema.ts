import { registeredBackendSchema } from '@buckthornlug/protocol/registry/registrySchema.js';
import { routingDocumentSchema } from '@buckthornlug/protocol/routing/routingSchema.js';
import { z } from 'zod';

/** What entry hosts ask of control hosts to keep their routing state up to date. */

/** How far a host has come. */
export const routingPositionSchema = z.strictObject({
  routingVersion: z.int().describe('-1 where the host holds no routing document.'),
  evacuationRevision: z.int().min(0),
  registryRevision: z.int().min(0),
});

export const routingPollSchema = routingPositionSchema.extend({
  waitMs: z.number().min(0).max(5000).describe('Longest wait for news.'),
});

const evacuationSchema = z.strictObject({
  availabilityZone: z.string(),
  isEvacuated: z.boolean(),
  atMs: z.number(),
});

/** Everything that the asking host lacks. */
export const routingUpdateSchema = z.strictObject({
  position: routingPositionSchema,
  document: routingDocumentSchema.optional(),
  evacuations: z.array(evacuationSchema).optional(),
  backends: z.array(registeredBackendSchema),
  silentMs: z
    .number()
    .nullable()
    .describe('Time since the control host knew a leader; null where it knows none.'),
  wallMs: z.number().describe('Wall time of the control host, for the times in the records.'),
});

/** Backend servers that a control host has heard of lately. */
export const backendReportAgesSchema = z.array(
  z.strictObject({ backendId: z.string(), ageMs: z.number().min(0) }),
);

export type RoutingPosition = z.infer<typeof routingPositionSchema>;
export type RoutingPoll = z.infer<typeof routingPollSchema>;
export type RoutingUpdate = z.infer<typeof routingUpdateSchema>;
export type BackendReportAges = z.infer<typeof backendReportAgesSchema>;
