import { z } from 'zod';

/**
 * The routing document: one whole set of routes, services and limits under a version that the
 * operator chooses. The highest version that was accepted is in force.
 */

/** Name of a route or service, as the operator writes it. */
const nameSchema = z.string().min(1).max(200);

const targetSchema = z.strictObject({
  service: nameSchema,
  weight: z.number().min(0).describe('Share of the calls relative to the other targets.'),
});

/** One route: which calls it takes, where they may run and how they are treated. */
export const routeSchema = z.strictObject({
  routeId: nameSchema,
  hostName: z.string().min(1).describe('Value of the Host header, without port.'),
  pathPrefix: z.string().startsWith('/').describe('The longest prefix of a host name wins.'),
  targets: z.array(targetSchema).min(1),
  execution: z
    .enum(['idempotent', 'single'])
    .describe('idempotent: may be repeated; single: repeated only where it was proved not to run.'),
  timeLimitMs: z.number().positive().max(600_000).describe('Longest time for an answer.'),
  targetMs: z.number().positive().describe('Latency objective.'),
  rank: z.int().min(0).describe('0 is the most urgent.'),
  maxAttempts: z.int().min(1).describe('Backend servers that one call may be sent to.'),
  hasAffinity: z
    .boolean()
    .describe('Whether calls about one object run faster where it was handled before.'),
  homeRegions: z.array(nameSchema).describe('Regions that may serve the route; empty for all.'),
});

/** One service of the routing document. */
export const routedServiceSchema = z.strictObject({
  service: nameSchema,
  healthPath: z.string().startsWith('/'),
  connectionLimit: z.int().min(1).describe('Connections of one backend server, from all hosts.'),
  coldStartMs: z.number().min(0).describe('Time for which a new backend server is cold.'),
  coldCallsPerS: z.number().min(0).describe('Rate of calls that a cold backend server bears.'),
});

/** Bounds of what callers may send. */
export const routingLimitsSchema = z.strictObject({
  maxHeadBytes: z.int().min(1),
  maxBodyBytes: z.int().min(1),
  headTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

/** A whole routing document. */
export const routingDocumentSchema = z
  .strictObject({
    version: z.int().min(0),
    routes: z.array(routeSchema),
    services: z.array(routedServiceSchema),
    limits: routingLimitsSchema,
    source: z.string().describe('The document in the form in which the operator submitted it.'),
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

export type Route = z.infer<typeof routeSchema>;
export type RoutedService = z.infer<typeof routedServiceSchema>;
export type RoutingLimits = z.infer<typeof routingLimitsSchema>;
export type RoutingDocument = z.infer<typeof routingDocumentSchema>;
/** A routing document without the operator's own form of it, as entry hosts hold it. */
export type RoutingInForce = Omit<RoutingDocument, 'source'>;
