import { z } from 'zod';

import { endpointSchema, idSchema } from '../common/primitives.js';

/** Announcements of backend servers: sent over HTTP to a host of their availability zone. */

/** Proof of the last reply: the backend server sends back what it got, as it is. */
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
  slots: z.int().min(1).max(10000).describe('Calls that run at the same time.'),
  connectionLimit: z.int().min(1).describe('Connections taken from all hosts together.'),
  state: z.enum(['warming', 'ready', 'draining', 'leaving']),
  inFlight: z.int().min(0).optional().describe('Calls that run now, as far as known.'),
  lease: leaseEchoSchema.optional().describe('Echo of the last reply, as it was received.'),
});

/** Reply to an announcement. */
export const announcementReplySchema = z.strictObject({
  hostId: idSchema,
  token: z.string().describe('To be sent back with the next announcement.'),
  renewAfterMs: z.number().describe('Time until the next announcement is due.'),
  leaseMs: z.number().describe('Time after which the backend server is given up.'),
  announceTo: endpointSchema.describe('Host that the next announcement should go to.'),
});

export type Announcement = z.infer<typeof announcementSchema>;
export type AnnouncementReply = z.infer<typeof announcementReplySchema>;
export type LeaseEcho = z.infer<typeof leaseEchoSchema>;
