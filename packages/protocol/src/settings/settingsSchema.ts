import { z } from 'zod';

import { endpointSchema, idSchema, permilleSchema } from '../common/primitives.js';

/** The settings of one host: one JSON file. Types, checks, defaults and the reference page come from it. */

const secretKeySchema = z.strictObject({
  id: idSchema,
  secret: z.string().min(16).describe('Shared secret; never logged.'),
});

const peerSchema = z.strictObject({
  hostId: idSchema,
  region: idSchema.optional().describe('Learned from the host itself where absent.'),
  availabilityZone: idSchema.optional().describe('Learned from the host itself where absent.'),
  internal: endpointSchema.describe('Listener for other hosts.'),
});

const groupSchema = z.strictObject({
  id: idSchema.describe('`control`, or the name of a ledger group.'),
  members: z.array(idSchema).min(1).describe('Hosts with a data folder that start the group.'),
  mayForm: z
    .boolean()
    .optional()
    .describe('Whether empty disks may form the group, as they may where absent.'),
  admitsControlHosts: z
    .boolean()
    .optional()
    .describe('Whether every host with the role control joins the group by itself.'),
});

const listenSchema = z.strictObject({
  callers: endpointSchema.describe('Calls, look-ups and announcements.'),
  internal: endpointSchema.describe('Requests of other hosts.'),
  admin: endpointSchema.describe('Administration API and metrics.'),
});

const limitsSchema = z.strictObject({
  maxHeadBytes: z.int().min(1024).default(16384).describe('Largest head of a call.'),
  maxBodyBytes: z.int().min(1).default(8_388_608).describe('Largest body of a call.'),
  maxConnections: z.int().min(1).default(20_000).describe('Connections of callers.'),
  headTimeoutMs: z.number().positive().default(5000).describe('Time in which a head must arrive.'),
  idleBodyTimeoutMs: z.number().positive().default(5000).describe('Longest pause inside a body.'),
  maxQueuedCalls: z.int().min(1).default(4096).describe('Calls that wait on one host.'),
  replayBodyBytes: z.int().min(0).default(65_536).describe('Largest body kept for a retry.'),
  maxBufferedBytes: z
    .int()
    .min(1)
    .default(134_217_728)
    .describe('Memory for bodies that are kept whole.'),
  maxLogLinesPerS: z
    .int()
    .min(1)
    .default(100)
    .describe('Lines of one event that the log takes in a second; more are counted.'),
  maxTimelineEvents: z.int().min(16).default(20_000).describe('Events kept in memory.'),
});

const timingSchema = z.strictObject({
  announceRenewMs: z
    .number()
    .positive()
    .default(500)
    .describe('Renewal interval of backend servers.'),
  slotLeaseMs: z.number().positive().default(2000).describe('Life of a slot lease.'),
  creditMs: z.number().positive().default(300).describe('Life of a credit between zones.'),
  probeIntervalMs: z.number().positive().default(500).describe('Interval of membership probes.'),
  probeTimeoutMs: z.number().positive().default(400).describe('Time in which a probe is answered.'),
  suspicionMs: z.number().positive().default(1200).describe('Time from suspicion to failure.'),
  electionTimeoutMs: z.number().positive().default(1000).describe('Shortest election timeout.'),
  heartbeatMs: z.number().positive().default(150).describe('Heartbeat interval of a leader.'),
  documentPollMs: z.number().positive().default(500).describe('Interval of document look-ups.'),
  rpcTimeoutMs: z
    .number()
    .positive()
    .default(1000)
    .describe('Time limit of a request between hosts.'),
  stopGraceMs: z.number().positive().default(10_000).describe('Longest wait for calls at a stop.'),
  leaveLookupMs: z.number().min(0).default(0).describe('Extra time a stopping host keeps serving.'),
});

const headerFieldName = (defaultName: string, description: string) =>
  z.string().toLowerCase().default(defaultName).describe(description);

/** Header fields between callers, entry hosts and registered backend servers. */
const callFieldsSchema = z.strictObject({
  attemptId: headerFieldName('x-request-id', 'Identity of a call; backend servers send it back.'),
  timeLeftMs: headerFieldName(
    'x-buckthornlug-time-left-ms',
    'Time for which the caller will wait.',
  ),
  objectKey: headerFieldName('x-object-key', 'Object that the call is about.'),
  expectedBackend: headerFieldName(
    'x-expected-backend',
    'Backend server that alone may run the call.',
  ),
  notRun: headerFieldName('x-not-run', 'Present where the backend server did not run the call.'),
  load: headerFieldName('x-load', 'Running calls, waiting calls and slots, separated by commas.'),
});

/** Settings of hosts that serve a routing document. */
export const routingSettingsSchema = z.strictObject({
  regionOfZone: z.record(z.string(), z.string()).default({}).describe('Region of each zone.'),
  reportIntervalMs: z.number().positive().default(1500).describe('Reports of backend servers.'),
  lookupTtlMs: z.number().positive().default(2000).describe('Time a look-up may be cached.'),
  retryPermille: z
    .number()
    .min(0)
    .default(100)
    .describe('Repeated dispatches of all hosts for each thousand calls of a service.'),
  retryBurst: z
    .number()
    .min(0)
    .default(10)
    .describe('Repeated dispatches of all hosts on top, within one window of the budget.'),
  maxShiftPermille: permilleSchema
    .default(150)
    .describe('Largest change of the share of a region that runs elsewhere, per 2 s.'),
  callFields: callFieldsSchema.prefault({}),
});

/** Settings of one host. */
export const settingsSchema = z.strictObject({
  hostId: idSchema,
  region: idSchema,
  availabilityZone: idSchema,
  roles: z.array(z.enum(['entry', 'control'])).min(1),
  listen: listenSchema,
  peers: z.array(peerSchema).default([]).describe('Hosts to start from.'),
  peerAddresses: z
    .record(idSchema, endpointSchema)
    .default({})
    .describe('Internal address of a host as seen from here, where it differs.'),
  dataFolder: z
    .string()
    .min(1)
    .optional()
    .describe('Folder for durable state; needed for control.'),
  groups: z.array(groupSchema).default([]).describe('Replicated groups and their first members.'),
  clusterKeys: z
    .array(secretKeySchema)
    .min(1)
    .max(4)
    .describe('Keys between hosts; the first signs.'),
  announceKeys: z.array(secretKeySchema).min(1).max(4).describe('Keys of backend servers.'),
  limits: limitsSchema.prefault({}),
  routing: routingSettingsSchema
    .optional()
    .describe('Serves a routing document with registered backend servers.'),
  timing: timingSchema.prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type Role = Settings['roles'][number];
export type Peer = Settings['peers'][number];
export type SecretKey = Settings['clusterKeys'][number];
export type GroupSettings = Settings['groups'][number];
export type RoutingSettings = NonNullable<Settings['routing']>;
export type CallFields = RoutingSettings['callFields'];
