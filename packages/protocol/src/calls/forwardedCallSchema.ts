import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Header field that carries a `ForwardedCall` as JSON. */
export const forwardedCallHeader = 'x-buckthornlug-forwarded';
/** Retry delay of a refusal in milliseconds, read by other hosts. */
export const retryAfterMsHeader = 'x-buckthornlug-retry-after-ms';
/** Backend server on which a forwarded call failed. */
export const failedBackendHeader = 'x-buckthornlug-failed-backend';

/** Metadata that the forwarding host sends with a call. */
export const forwardedCallSchema = z.strictObject({
  requestId: z.string().max(128),
  service: idSchema,
  kind: idSchema,
  rank: z.int().min(0).max(7),
  timeLeftMs: z.number().describe('Time until the deadline of the call.'),
  targetLeftMs: z
    .number()
    .describe('Time until the latency target of the call; negative once it has passed.'),
  attempt: z.int().min(0),
  excluded: z.array(z.string().max(64)).max(16),
  originZone: idSchema.describe(
    'Availability zone of the host that accepted the call from the caller.',
  ),
  originRegion: idSchema.describe('Region of the caller.'),
  creditId: z.string().max(128).optional(),
  crossedZones: z.boolean().describe('Whether the call has already crossed availability zones.'),
});

export type ForwardedCall = z.infer<typeof forwardedCallSchema>;
