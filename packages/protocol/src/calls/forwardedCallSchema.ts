import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Header field that carries the particulars of a forwarded call as JSON. */
export const forwardedCallHeader = 'x-buckthornlug-forwarded';
/** Retry time of a refusal in milliseconds, towards other hosts. */
export const retryAfterMsHeader = 'x-buckthornlug-retry-after-ms';
/** Backend server that failed a forwarded call. */
export const failedBackendHeader = 'x-buckthornlug-failed-backend';

/** What the forwarding host says of a call. */
export const forwardedCallSchema = z.strictObject({
  requestId: z.string().max(128),
  service: idSchema,
  kind: idSchema,
  rank: z.int().min(0).max(7),
  timeLeftMs: z.number().describe('Time until the call is given up.'),
  targetLeftMs: z.number().describe('Time until the call should be answered; may be negative.'),
  attempt: z.int().min(0),
  excluded: z.array(z.string().max(64)).max(16),
  originZone: idSchema.describe('Availability zone of the host that took the call.'),
  originRegion: idSchema.describe('Region that the call came from.'),
  creditId: z.string().max(128).optional(),
  crossedZones: z.boolean().describe('Whether the call has gone from one zone to another.'),
});

export type ForwardedCall = z.infer<typeof forwardedCallSchema>;
