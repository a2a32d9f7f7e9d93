import { z } from 'zod';

import { cidrSchema, idSchema, permilleSchema } from '../common/primitives.js';

/** Schemas of the operators' document. Types, checks, defaults and the reference page come from them. */

const regionSchema = z.strictObject({
  id: idSchema,
  availabilityZones: z.array(idSchema).min(1).describe('Availability zones of the region.'),
});

const linkSchema = z.strictObject({
  from: idSchema.describe('Region at one end.'),
  to: idSchema.describe('Region at the other end.'),
  oneWayDelayMs: z.number().positive().max(2000).describe('Delay in one direction.'),
  linkBytesPerS: z.number().positive().describe('Limit in each direction, shared by all traffic.'),
});

/** Section `network`: regions, availability zones and the links between them. */
export const networkSchema = z.strictObject({
  regions: z.array(regionSchema).min(1),
  links: z.array(linkSchema).default([]).describe('Links between regions, each pair once.'),
  zoneDelayMs: z.number().min(0).max(1000).describe('One-way delay between zones of a region.'),
  callerDelayMs: z.number().min(0).max(1000).describe('One-way delay between callers and hosts.'),
});

const rankSchema = z.strictObject({
  id: idSchema,
  targetMs: z.number().positive().describe('Time in which a call of the rank should be answered.'),
  floorPermille: permilleSchema.describe('Share of the slots guaranteed to the rank in a flood.'),
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
    .describe('Empty matches each method.'),
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
      'idempotent: may be repeated; once: runs at most once by its identity; single: dispatched once, never repeated.',
    ),
  identity: identitySchema.optional().describe('Where the identity stands; for execution once.'),
  ledgerGroups: z
    .array(idSchema)
    .default([])
    .describe('Ledger groups that keep identities of the kind; for execution once.'),
  targetMs: z.number().positive().optional().describe('Overrides the target of the rank.'),
  timeLimitMs: z.number().positive().describe('Time after which the call is given up.'),
  hedge: z
    .boolean()
    .default(false)
    .describe(
      'Whether a late call may start a second attempt: on idle slots, or before less urgent calls once half of its target has passed.',
    ),
});

/** Section `services/<id>`: one service and its kinds of work. */
export const serviceSchema = z.strictObject({
  hostNames: z.array(z.string().min(1)).min(1).describe('Values of the Host header, without port.'),
  kinds: z.array(kindSchema).min(1).describe('The first kind that matches a call classifies it.'),
  serviceTimeMs: z.number().positive().default(40).describe('Usual time of one call on a slot.'),
  notRunStatuses: z
    .array(z.int().min(400).max(599))
    .default([])
    .describe('Answers of a backend server that prove that the call did not run.'),
  slowStartMs: z
    .number()
    .min(0)
    .default(2000)
    .describe('Time in which a new backend server ramps up.'),
  lookupTtlMs: z
    .number()
    .min(100)
    .default(5000)
    .describe('Time for which callers cache a look-up.'),
});

const shiftCapSchema = z.strictObject({
  stepPermille: z.int().min(1).max(1000).describe('Largest share of a region moved in one step.'),
  stepIntervalMs: z.number().min(100).describe('Shortest time between two steps.'),
  maxShiftedCallsPerS: z
    .number()
    .positive()
    .describe('Largest rate of shifted calls a region takes.'),
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
    .describe('Shared secret that signs submissions; a key keeps its secret where absent.'),
});

const teamSchema = z.strictObject({
  id: idSchema,
  sections: z.array(z.string().min(1)).describe('Section names; a trailing * matches the rest.'),
  keys: z.array(teamKeySchema).min(1).max(4).describe('Valid keys; two during a rotation.'),
});

/** Section `teams`: who owns which sections, and their keys. */
export const teamsSchema = z.array(teamSchema).min(1);

const baseSchema = z.strictObject({
  version: z.int().min(0),
  sections: z.record(z.string(), z.int().min(0)),
});

/** The whole document. */
export const documentSchema = z.strictObject({
  format: z.literal(1),
  base: baseSchema.optional().describe('Versions that the document was edited from.'),
  teams: teamsSchema,
  network: networkSchema,
  ranks: ranksSchema,
  clientBlocks: z.record(idSchema, clientBlocksSchema).default({}),
  services: z.record(idSchema, serviceSchema),
  traffic: z.record(idSchema, trafficSchema),
});
