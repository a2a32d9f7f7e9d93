import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Kinds of the events on the time line. */
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

/** Reading of a hybrid logical clock: wall time in milliseconds and a counter within it. */
export const hybridTimeSchema = z.strictObject({
  wallMs: z.number(),
  counter: z.int().min(0),
});

/** One event of one host. */
export const timelineEventSchema = z.strictObject({
  kind: z.enum(eventKinds),
  at: hybridTimeSchema,
  hostId: idSchema,
  availabilityZone: idSchema,
  incarnation: z.number(),
  sequence: z.int().min(0).describe('Number of the event in the life of the process.'),
  requestId: z.string().optional(),
  version: z.int().optional(),
  service: z.string().optional(),
  code: z.string().optional().describe('Result code, for refusals.'),
  detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).default({}),
});

export type EventKind = (typeof eventKinds)[number];
export type HybridTime = z.infer<typeof hybridTimeSchema>;
export type TimelineEvent = z.infer<typeof timelineEventSchema>;
/** What a feature says of an event; the time line adds the rest. */
export type EventInput = Pick<TimelineEvent, 'kind'> &
  Partial<Pick<TimelineEvent, 'requestId' | 'version' | 'service' | 'code' | 'detail'>>;
