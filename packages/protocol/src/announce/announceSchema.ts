import { z } from 'zod';

import { endpointSchema, idSchema } from '../common/primitives.js';

/** Announcements that backend servers send over HTTP to a host of their availability zone. */

/** Echo of the last reply, which proves that the backend server received it. */
export const leaseEchoSchema = z.strictObject({
  hostId: idSchema.describe('Host that sent the reply.'),
  token: z.string().max(128).describe('Token of that reply.'),
  ageMs: z.number().min(0).describe('Time since the last announcement was sent to that host.'),
});

/** One announcement. */
export const announcementSchema = z.strictObject({
  backendId: idSchema,
  service: idSchema,
  availabilityZone: idSchema,
  endpoint: endpointSchema,
  slots: z.int().min(1).max(10000).describe('Largest number of concurrent calls.'),
  connectionLimit: z
    .int()
    .min(1)
    .describe('Largest number of connections from all hosts together.'),
  state: z.enum(['warming', 'ready', 'draining', 'leaving']),
  inFlight: z
    .int()
    .min(0)
    .optional()
    .describe('Calls in flight, if the backend server counts them.'),
  lease: leaseEchoSchema.optional().describe('Echo of the last reply.'),
});

/** Reply to an announcement. */
export const announcementReplySchema = z.strictObject({
  hostId: idSchema,
  token: z.string().describe('Token to echo in the next announcement.'),
  renewAfterMs: z.number().describe('Time until the next announcement is due.'),
  leaseMs: z.number().describe('Lifetime of the slot lease, from the sending of this reply.'),
  announceTo: endpointSchema.describe('Host to send the next announcement to.'),
});

export type Announcement = z.infer<typeof announcementSchema>;
export type AnnouncementReply = z.infer<typeof announcementReplySchema>;
export type LeaseEcho = z.infer<typeof leaseEchoSchema>;
