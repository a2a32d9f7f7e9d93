import { z } from 'zod';

/**
 * Schema of the routing document: a complete set of routes, services and limits under a version that
 * the operator chooses. The highest accepted version is in force.
 */

/** Name of a route or service, chosen by the operator. */
const nameSchema = z.string().min(1).max(200);

const targetSchema = z.strictObject({
  service: nameSchema,
  weight: z.number().min(0).describe('Share of the calls relative to the other targets.'),
});

/** One route: which calls it matches, where they may run and how they are handled. */
export const routeSchema = z.strictObject({
  routeId: nameSchema,
  hostName: z.string().min(1).describe('Value of the Host header, without port.'),
  pathPrefix: z
    .string()
    .startsWith('/')
    .describe('Among the routes of a host name the longest matching prefix wins.'),
  targets: z.array(targetSchema).min(1),
  execution: z
    .enum(['idempotent', 'single'])
    .describe('idempotent: may be repeated; single: repeated only if it provably did not run.'),
  timeLimitMs: z.number().positive().max(600_000).describe('Time limit for an answer.'),
  targetMs: z.number().positive().describe('Latency objective.'),
  rank: z.int().min(0).describe('0 is the most urgent.'),
  maxAttempts: z
    .int()
    .min(1)
    .describe('Largest number of backend servers that one call is sent to.'),
  hasAffinity: z
    .boolean()
    .describe(
      'Whether calls for an object run faster on the backend server that handled it before.',
    ),
  homeRegions: z.array(nameSchema).describe('Regions that may serve the route; empty for all.'),
});

/** One service of the routing document. */
export const routedServiceSchema = z.strictObject({
  service: nameSchema,
  healthPath: z.string().startsWith('/'),
  connectionLimit: z
    .int()
    .min(1)
    .describe('Largest number of connections to one backend server from all hosts together.'),
  coldStartMs: z.number().min(0).describe('Time that a new backend server needs to warm up.'),
  coldCallsPerS: z
    .number()
    .min(0)
    .describe('Rate of calls that a backend server can handle while it is cold.'),
});

/** Limits on requests of callers. */
export const routingLimitsSchema = z.strictObject({
  maxHeadBytes: z.int().min(1),
  maxBodyBytes: z.int().min(1),
  headTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

/** A complete routing document. */
export const routingDocumentSchema = z
  .strictObject({
    version: z.int().min(0),
    routes: z.array(routeSchema),
    services: z.array(routedServiceSchema),
    limits: routingLimitsSchema,
    source: z.string().describe('The document as submitted by the operator.'),
  })
  .superRefine((document, context) => {
    const known = new Set(document.services.map(({ service }) => service));
    for (const [routeIndex, route] of document.routes.entries()) {
      for (const [targetIndex, target] of route.targets.entries()) {
        if (known.has(target.service)) continue;
        const path = ['routes', routeIndex, 'targets', targetIndex, 'service'];
        const message = `service "${target.service}" is not in the document`;
        context.addIssue({ code: 'custom', path, message });
      }
    }
  });

/** Changes that lead from one version of a routing document to a later one. */
export const routingChangesSchema = z.strictObject({
  baseVersion: z
    .int()
    .min(0)
    .describe('Version that the changes apply to, as well as any between it and theirs.'),
  version: z.int().min(0),
  routes: z.array(routeSchema).describe('Routes that were added or changed.'),
  removedRouteIds: z.array(nameSchema),
  services: z.array(routedServiceSchema).describe('All services.'),
  limits: routingLimitsSchema,
});

export type Route = z.infer<typeof routeSchema>;
export type RoutedService = z.infer<typeof routedServiceSchema>;
export type RoutingLimits = z.infer<typeof routingLimitsSchema>;
export type RoutingDocument = z.infer<typeof routingDocumentSchema>;
export type RoutingChanges = z.infer<typeof routingChangesSchema>;
/** A routing document without its `source`, as held by entry hosts. */
export type RoutingInForce = Omit<RoutingDocument, 'source'>;
