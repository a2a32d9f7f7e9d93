import { z } from 'zod';

import { endpointSchema } from '../common/primitives.js';

/**
 * Schemas of backend servers that register with control hosts instead of the pool owner of their zone.
 */

/** Longest time for which a backend server may report to be cold; ten minutes. */
const maxColdForMs = 600_000;

/** Report of a backend server about itself. */
export const backendReportSchema = z.strictObject({
  backendId: z
    .string()
    .regex(/^[\x21-\x7e]{1,128}$/, 'must be 1 to 128 printable ASCII characters without spaces')
    .describe('Sent to the backend server as the value of a header field.'),
  bornAtMs: z
    .int()
    .min(0)
    .describe('Wall time at which the process started; distinguishes incarnations.'),
  sequence: z.int().min(0).describe('Increases with each report of one incarnation.'),
  service: z.string().min(1).max(200),
  availabilityZone: z.string().min(1).max(200),
  endpoint: endpointSchema,
  slots: z.int().min(1).max(10_000),
  state: z.enum(['ready', 'draining']),
  coldForMs: z
    .number()
    .min(0)
    .max(maxColdForMs)
    .describe('Time until the backend server has warmed up.'),
});

/** Registry record of a backend server, as sent to entry hosts. */
export const registeredBackendSchema = z.strictObject({
  backendId: z.string(),
  bornAtMs: z.number(),
  service: z.string(),
  availabilityZone: z.string(),
  endpoint: endpointSchema,
  slots: z.int(),
  sequence: z.int().describe('Sequence number of the last report that changed the record.'),
  state: z
    .enum(['ready', 'draining', 'silent', 'gone'])
    .describe(
      'silent: gets no calls until it reports again; gone: this incarnation never returns.',
    ),
  coldUntilMs: z.number().describe('Wall time at which the backend server has warmed up.'),
  revision: z.int().describe('Registry revision of the last change of the record.'),
});

export type BackendReport = z.infer<typeof backendReportSchema>;
export type RegisteredBackend = z.infer<typeof registeredBackendSchema>;
