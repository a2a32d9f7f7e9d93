import { z } from 'zod';

import { endpointSchema } from '../common/primitives.js';

/** Backend servers that register with control hosts instead of the pool owner of their zone. */

/** What a backend server reports of itself. */
export const backendReportSchema = z.strictObject({
  backendId: z.string().min(1).max(128),
  bornAtMs: z.number().describe('Start of the process in wall time; tells incarnations apart.'),
  sequence: z.int().min(0).describe('Rises with each report of one incarnation.'),
  service: z.string().min(1).max(200),
  availabilityZone: z.string().min(1).max(200),
  endpoint: endpointSchema,
  slots: z.int().min(1).max(10_000),
  state: z.enum(['ready', 'draining']),
  coldForMs: z.number().min(0).describe('Time for which the backend server is still cold.'),
});

/** A registered backend server as entry hosts learn of it. */
export const registeredBackendSchema = z.strictObject({
  backendId: z.string(),
  bornAtMs: z.number(),
  service: z.string(),
  availabilityZone: z.string(),
  endpoint: endpointSchema,
  slots: z.int(),
  sequence: z.int().describe('Sequence of the report that changed the record last.'),
  state: z
    .enum(['ready', 'draining', 'silent', 'gone'])
    .describe('silent: takes no calls until it reports again; gone: does not come back.'),
  coldUntilMs: z.number().describe('Wall time at which the backend server has warmed up.'),
  revision: z.int().describe('Revision of the registry that changed the record last.'),
});

export type BackendReport = z.infer<typeof backendReportSchema>;
export type RegisteredBackend = z.infer<typeof registeredBackendSchema>;
