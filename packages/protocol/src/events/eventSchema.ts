import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Kinds of timeline events. */
export const eventKinds = [
  'hostStarted',
  'hostStopping',
  'hostStopped',
  'submissionAccepted',
  'submissionRefused',
  'documentInForce',
  'lookupChanged',
  'backendSeen',
  'backendReady',
  'backendDraining',
  'backendGone',
  'backendEjected',
  'backendReadmitted',
  'slotLeaseTaken',
  'slotLeaseReleased',
  'creditGranted',
  'admissionClosed',
  'admissionOpened',
  'callRefused',
  'callRetried',
  'callHedged',
  'shiftStep',
  'shiftHeld',
  'shiftDone',
  'ledgerIntent',
  'ledgerOutcome',
  'ledgerUnknown',
  'leaderElected',
  'leaderLost',
  'memberAlive',
  'memberSuspected',
  'memberFailed',
  'memberLeft',
  'replicaAdded',
  'replicaRemoved',
  'formationRefused',
  'lossAccepted',
  'lossRefused',
  'storageFault',
  'keyRefused',
] as const;

/** Value of a hybrid logical clock: wall time and a counter within the same millisecond. */
export const hybridTimeSchema = z.strictObject({
  wallMs: z.number(),
  counter: z.int().min(0),
});

/** One timeline event of one host. */
export const timelineEventSchema = z.strictObject({
  kind: z.enum(eventKinds),
  at: hybridTimeSchema,
  hostId: idSchema,
  availabilityZone: idSchema,
  incarnation: z.number(),
  sequence: z
    .int()
    .min(0)
    .describe('Sequence number of the event within the lifetime of the process.'),
  requestId: z.string().optional(),
  version: z.int().optional(),
  service: z.string().optional(),
  code: z.string().optional().describe('Result code, for refusals.'),
  detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).default({}),
});

export type EventKind = (typeof eventKinds)[number];
export type HybridTime = z.infer<typeof hybridTimeSchema>;
export type TimelineEvent = z.infer<typeof timelineEventSchema>;
/** Fields of an event that a feature supplies; the timeline adds the others. */
export type EventInput = Pick<TimelineEvent, 'kind'> &
  Partial<Pick<TimelineEvent, 'requestId' | 'version' | 'service' | 'code' | 'detail'>>;
