import { z } from 'zod';

import { cidrSchema, idSchema, permilleSchema } from '../common/primitives.js';

/**
 * Schemas of the operators' document; types, validation, defaults and docs/CONFIGURATION.md derive
 * from them.
 */

const regionSchema = z.strictObject({
  id: idSchema,
  availabilityZones: z.array(idSchema).min(1).describe('Availability zones of the region.'),
});

const linkSchema = z.strictObject({
  from: idSchema.describe('Region at one end.'),
  to: idSchema.describe('Region at the other end.'),
  oneWayDelayMs: z.number().positive().max(2000).describe('One-way delay.'),
  linkBytesPerS: z
    .number()
    .positive()
    .describe('Bandwidth limit in each direction, shared by all traffic.'),
});

/** Section `network`: regions, availability zones and the links between them. */
export const networkSchema = z.strictObject({
  regions: z.array(regionSchema).min(1),
  links: z
    .array(linkSchema)
    .default([])
    .describe('Links between regions; each pair of regions occurs at most once.'),
  zoneDelayMs: z.number().min(0).max(1000).describe('One-way delay between zones of a region.'),
  callerDelayMs: z.number().min(0).max(1000).describe('One-way delay between callers and hosts.'),
});

const rankSchema = z.strictObject({
  id: idSchema,
  targetMs: z.number().positive().describe('Latency target of calls of the rank.'),
  floorPermille: permilleSchema.describe(
    'Share of the slots guaranteed to the rank under overload.',
  ),
  worth: z.number().min(0).default(1).describe('Relative worth of an answered call.'),
});

/** Section `ranks`: the ranks of work, the most urgent first. */
export const ranksSchema = z.array(rankSchema).min(1).max(8);

const clientBlockSchema = z.strictObject({
  block: cidrSchema,
  availabilityZone: idSchema.describe('Availability zone nearest to the callers of the block.'),
});

/** Section `clientBlocks/<group>`: blocks of caller addresses. */
export const clientBlocksSchema = z.array(clientBlockSchema);

const matchSchema = z.strictObject({
  methods: z
    .array(z.string().regex(/^[A-Z]+$/))
    .default([])
    .describe('HTTP methods that match; empty matches every method.'),
  pathPrefix: z.string().startsWith('/').default('/'),
});

const identitySchema = z.strictObject({
  header: z.string().toLowerCase().describe('Header field that holds the identity of the request.'),
});

const kindSchema = z.strictObject({
  id: idSchema,
  match: matchSchema,
  rank: idSchema,
  execution: z
    .enum(['idempotent', 'once', 'single'])
    .describe(
      'idempotent: may be repeated; once: runs at most once per identity; single: dispatched once, never repeated.',
    ),
  identity: identitySchema
    .optional()
    .describe('Source of the request identity; required for execution once.'),
  ledgerGroups: z
    .array(idSchema)
    .default([])
    .describe('Ledger groups that record the identities of the kind; required for execution once.'),
  targetMs: z
    .number()
    .positive()
    .optional()
    .describe('Latency target; overrides that of the rank.'),
  timeLimitMs: z.number().positive().describe('Time from the arrival of a call to its deadline.'),
  hedge: z
    .boolean()
    .default(false)
    .describe(
      'Whether a slow call may be hedged with a second attempt: on idle slots, or ahead of less urgent calls once half of its target has passed.',
    ),
});

/** Section `services/<id>`: one service and its kinds of work. */
export const serviceSchema = z.strictObject({
  hostNames: z.array(z.string().min(1)).min(1).describe('Values of the Host header, without port.'),
  kinds: z
    .array(kindSchema)
    .min(1)
    .describe('Kinds of work in matching order; the first match classifies a call.'),
  serviceTimeMs: z
    .number()
    .positive()
    .default(40)
    .describe('Typical time for which one call occupies a slot.'),
  notRunStatuses: z
    .array(z.int().min(400).max(599))
    .default([])
    .describe('HTTP statuses of a backend server that prove that the call did not run.'),
  slowStartMs: z
    .number()
    .min(0)
    .default(2000)
    .describe('Time over which the load on a new backend server is ramped up.'),
  lookupTtlMs: z
    .number()
    .min(100)
    .default(5000)
    .describe('Time for which callers cache a look-up.'),
});

const shiftCapSchema = z.strictObject({
  stepPermille: z
    .int()
    .min(1)
    .max(1000)
    .describe('Largest share of the traffic of a region shifted in one step.'),
  stepIntervalMs: z.number().min(100).describe('Shortest time between two steps.'),
  maxShiftedCallsPerS: z
    .number()
    .positive()
    .describe('Largest rate of shifted calls that a region accepts.'),
});

/** Section `traffic/<service>`: weights, drains and caps of one service. */
export const trafficSchema = z.strictObject({
  weights: z
    .record(idSchema, permilleSchema)
    .default({})
    .describe('Share of its own traffic that a region keeps, in permille; 1000 where absent.'),
  drainedRegions: z.array(idSchema).default([]),
  drainedZones: z.array(idSchema).default([]),
  shiftCap: shiftCapSchema,
});

const teamKeySchema = z.strictObject({
  id: idSchema,
  secret: z
    .string()
    .min(16)
    .optional()
    .describe('Shared secret that signs submissions; if absent, the key keeps its current secret.'),
});

const teamSchema = z.strictObject({
  id: idSchema,
  sections: z
    .array(z.string().min(1))
    .describe('Names of the sections that the team owns; a trailing * matches any suffix.'),
  keys: z.array(teamKeySchema).min(1).max(4).describe('Valid keys; two during a rotation.'),
});

/** Section `teams`: the teams with their keys and the sections that each owns. */
export const teamsSchema = z.array(teamSchema).min(1);

const baseSchema = z.strictObject({
  version: z.int().min(0),
  sections: z.record(z.string(), z.int().min(0)),
});

/** The whole document. */
export const documentSchema = z.strictObject({
  format: z.literal(1),
  base: baseSchema.optional().describe('Versions that the edit is based on.'),
  teams: teamsSchema,
  network: networkSchema,
  ranks: ranksSchema,
  clientBlocks: z.record(idSchema, clientBlocksSchema).default({}),
  services: z.record(idSchema, serviceSchema),
  traffic: z.record(idSchema, trafficSchema),
});
