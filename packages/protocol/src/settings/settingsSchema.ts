import { z } from 'zod';

import { endpointSchema, idSchema, maxTimerMs, permilleSchema } from '../common/primitives.js';

/**
 * Schema of the settings file of a host (JSON); types, validation, defaults and docs/CONFIGURATION.md
 * derive from it.
 */

/** A duration that timers are set to. */
const durationMsSchema = z.number().positive().max(maxTimerMs);

const secretKeySchema = z.strictObject({
  id: idSchema,
  secret: z.string().min(16).describe('Shared secret; never logged.'),
});

const peerSchema = z.strictObject({
  hostId: idSchema,
  region: idSchema.optional().describe('Learned from the host itself if absent.'),
  availabilityZone: idSchema.optional().describe('Learned from the host itself if absent.'),
  internal: endpointSchema.describe('Listener for other hosts.'),
});

const lossesSchema = z.strictObject({
  hosts: z.int().min(0).describe('Hosts, wherever they are.'),
  availabilityZones: z.int().min(0).describe('Whole availability zones.'),
  regions: z.int().min(0).describe('Whole regions.'),
});

const replacementSchema = z.strictObject({
  silentMs: z
    .number()
    .positive()
    .describe('Time for which a replica answers nothing before it is removed.'),
  losses: lossesSchema.describe(
    'Losses that the replicas which answer must bear, each by itself, before one is removed.',
  ),
});

const groupSchema = z.strictObject({
  id: idSchema.describe('`control`, or the name of a ledger group.'),
  members: z
    .array(idSchema)
    .min(1)
    .describe('Initial members of the group: hosts with a data folder.'),
  mayForm: z
    .boolean()
    .optional()
    .describe('Whether members with empty disks may form the group; true if absent.'),
  admitsControlHosts: z
    .boolean()
    .optional()
    .describe('Whether every host with the role control joins the group automatically.'),
  replacement: replacementSchema
    .optional()
    .describe(
      'When replicas of hosts that are gone leave a group that admits control hosts; never if absent.',
    ),
});

const listenSchema = z.strictObject({
  callers: endpointSchema.describe('Calls, look-ups and announcements.'),
  internal: endpointSchema.describe('Requests from other hosts.'),
  admin: endpointSchema.describe('Administration API and metrics.'),
});

const limitsSchema = z.strictObject({
  maxHeadBytes: z.int().min(1024).default(16384).describe('Largest head of a request.'),
  maxBodyBytes: z.int().min(1).default(8_388_608).describe('Largest body of a request.'),
  maxConnections: z
    .int()
    .min(1)
    .default(20_000)
    .describe('Largest number of connections from callers.'),
  headTimeoutMs: durationMsSchema.default(5000).describe('Timeout for receiving a request head.'),
  idleBodyTimeoutMs: durationMsSchema
    .default(5000)
    .describe('Longest pause while a body is received.'),
  maxQueuedCalls: z
    .int()
    .min(1)
    .default(4096)
    .describe('Largest number of calls queued on one host.'),
  replayBodyBytes: z.int().min(0).default(65_536).describe('Largest body kept for a retry.'),
  maxBufferedBytes: z
    .int()
    .min(1)
    .default(134_217_728)
    .describe('Memory for request bodies that are buffered completely.'),
  maxLogLinesPerS: z
    .int()
    .min(1)
    .default(100)
    .describe('Log lines per second and event name; further lines are only counted.'),
  maxTimelineEvents: z.int().min(16).default(20_000).describe('Timeline events kept in memory.'),
});

const timingSchema = z.strictObject({
  announceRenewMs: durationMsSchema
    .default(500)
    .describe('Interval at which backend servers renew their announcements.'),
  slotLeaseMs: durationMsSchema.default(2000).describe('Lifetime of a slot lease.'),
  creditMs: durationMsSchema.default(300).describe('Lifetime of a credit between zones.'),
  probeIntervalMs: durationMsSchema.default(500).describe('Interval of membership probes.'),
  probeTimeoutMs: durationMsSchema.default(400).describe('Timeout of a membership probe.'),
  suspicionMs: durationMsSchema
    .default(1200)
    .describe('Time after which a suspected host counts as failed.'),
  electionTimeoutMs: durationMsSchema.default(1000).describe('Shortest election timeout.'),
  heartbeatMs: durationMsSchema.default(150).describe('Heartbeat interval of a leader.'),
  documentPollMs: durationMsSchema.default(500).describe('Interval of polls for a new document.'),
  rpcTimeoutMs: durationMsSchema.default(1000).describe('Time limit of a request between hosts.'),
  stopGraceMs: durationMsSchema
    .default(10_000)
    .describe('Longest wait for calls in flight when the host stops.'),
  leaveLookupMs: z
    .number()
    .min(0)
    .max(maxTimerMs)
    .default(0)
    .describe('Extra time for which a stopping host keeps serving after it has left the look-ups.'),
});

const headerFieldName = (defaultName: string, description: string) =>
  z.string().toLowerCase().default(defaultName).describe(description);

/** Header fields between callers, entry hosts and registered backend servers. */
const callFieldsSchema = z.strictObject({
  attemptId: headerFieldName('x-request-id', 'ID of a call; backend servers echo it.'),
  timeLeftMs: headerFieldName(
    'x-buckthornlug-time-left-ms',
    'Time for which the caller waits for the answer.',
  ),
  objectKey: headerFieldName('x-object-key', 'Object that the call is about.'),
  expectedBackend: headerFieldName(
    'x-expected-backend',
    'The only backend server that may run the call.',
  ),
  notRun: headerFieldName('x-not-run', 'Present if the backend server did not run the call.'),
  load: headerFieldName(
    'x-load',
    'Numbers of running calls, waiting calls and slots, separated by commas; a fourth figure is the time that work takes now, in percent of the usual time.',
  ),
  leaving: headerFieldName('x-leaving', 'Present if the backend server is about to leave.'),
});

/** Settings of hosts that serve a routing document. */
export const routingSettingsSchema = z.strictObject({
  regionOfZone: z.record(z.string(), z.string()).default({}).describe('Region of each zone.'),
  reportIntervalMs: durationMsSchema
    .default(1500)
    .describe('Interval of the reports of a backend server.'),
  lookupTtlMs: durationMsSchema.default(2000).describe('Time for which a look-up may be cached.'),
  documentInForceMs: durationMsSchema
    .default(2500)
    .describe(
      'Time within which an accepted document is in force on each host. A host that could not confirm its document for so long refuses a call without a route as temporary.',
    ),
  retryPermille: z
    .number()
    .min(0)
    .default(100)
    .describe(
      'Retry budget of all hosts together: repeated dispatches per thousand calls of a service.',
    ),
  retryBurst: z
    .number()
    .min(0)
    .default(10)
    .describe(
      'Burst of the retry budget: repeated dispatches that all hosts together may save up.',
    ),
  maxShiftPermille: permilleSchema
    .default(150)
    .describe(
      'Largest change per 2 s of the share of the traffic of a region that runs elsewhere.',
    ),
  callFields: callFieldsSchema.prefault({}),
});

/** Settings of one host. */
export const settingsSchema = z.strictObject({
  hostId: idSchema,
  region: idSchema,
  availabilityZone: idSchema,
  roles: z.array(z.enum(['entry', 'control'])).min(1),
  listen: listenSchema,
  peers: z.array(peerSchema).default([]).describe('Hosts known at the start.'),
  peerAddresses: z
    .record(idSchema, endpointSchema)
    .default({})
    .describe('Internal addresses of hosts as seen from this host, where they differ.'),
  dataFolder: z
    .string()
    .min(1)
    .optional()
    .describe('Folder for durable state; required for the role control.'),
  groups: z.array(groupSchema).default([]).describe('Replicated groups and their first members.'),
  clusterKeys: z
    .array(secretKeySchema)
    .min(1)
    .max(4)
    .describe('Keys for requests between hosts; the first one signs.'),
  announceKeys: z
    .array(secretKeySchema)
    .min(1)
    .max(4)
    .describe('Keys for announcements of backend servers.'),
  limits: limitsSchema.prefault({}),
  routing: routingSettingsSchema
    .optional()
    .describe('If present, the host serves a routing document with registered backend servers.'),
  timing: timingSchema.prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type Role = Settings['roles'][number];
export type Peer = Settings['peers'][number];
export type SecretKey = Settings['clusterKeys'][number];
export type GroupSettings = Settings['groups'][number];
export type ReplacementSettings = NonNullable<GroupSettings['replacement']>;
export type RoutingSettings = NonNullable<Settings['routing']>;
export type CallFields = RoutingSettings['callFields'];
