import { idSchema, endpointSchema } from '@buckthornlug/protocol/common/primitives.js';
import { z } from 'zod';

/** Settings of a fake backend server, also as the JSON argument of its process. */
export const fakeBackendOptionsSchema = z.strictObject({
  backendId: idSchema,
  service: idSchema,
  availabilityZone: idSchema,
  endpoint: endpointSchema.describe('Address on which it takes calls.'),
  hosts: z.array(endpointSchema).min(1).describe('Callers listeners to announce to, in turn.'),
  announceKey: z.strictObject({ id: z.string(), secret: z.string() }),
  slots: z.int().min(1).default(3),
  connectionLimit: z.int().min(1).default(330),
  meanMs: z.number().min(0).default(40).describe('Mean service time; 0 answers at once.'),
  p99OfMean: z.number().min(1).default(5).describe('99th percentile as a multiple of the mean.'),
  seed: z.int().default(1),
  shedStatus: z.int().default(503).describe('Status of a call beyond the slots.'),
  identityHeader: z.string().default('x-request-identity'),
  renewMs: z.number().positive().optional().describe('Overrides the interval of the reply.'),
});

/** Ways in which an answer is damaged. */
export const answerFaultSchema = z.enum([
  'none',
  'hangs',
  'breaksBeforeHead',
  'breaksInHead',
  'cutsLength',
  'cutsChunked',
  'openEnded',
  'malformed',
  'statusTooLow',
  'statusTooHigh',
  'switchesProtocols',
  'isLate',
]);

/** What a fake backend server does wrong until it is told otherwise. */
export const behaviourSchema = z.strictObject({
  answerFault: answerFaultSchema.default('none'),
  faultShare: z.number().min(0).max(1).default(1).describe('Share of calls with the fault.'),
  lateMs: z.number().min(0).default(0).describe('Delay of late answers.'),
  saysReady: z.boolean().default(true).describe('Whether its health endpoint says it is well.'),
  statedInFlight: z.int().optional().describe('Load it announces in place of the true one.'),
  statedSlots: z.int().optional().describe('Slots it announces in place of the true number.'),
  announces: z.boolean().default(true).describe('Whether it renews its announcement.'),
  shedsAll: z.boolean().default(false).describe('Whether it sheds each call.'),
  answerBytes: z.int().min(0).default(64).describe('Size of an answer.'),
});

export type FakeBackendOptions = z.input<typeof fakeBackendOptionsSchema>;
export type CheckedBackendOptions = z.output<typeof fakeBackendOptionsSchema>;
export type AnswerFault = z.infer<typeof answerFaultSchema>;
export type Behaviour = z.output<typeof behaviourSchema>;

/** What a fake backend server has counted. */
export interface BackendCounts {
  /** Calls that came in. */
  received: number;
  /** Calls that ran to their end. */
  completed: number;
  /** Calls refused since all slots were in use. */
  shed: number;
  /** Calls that came in more than two seconds after it had said that it leaves. */
  lateNew: number;
  /** Calls whose connection was closed by the host. */
  cancelled: number;
  /** Answers damaged on purpose. */
  damaged: number;
  inFlight: number;
  mostInFlight: number;
  connections: number;
  mostConnections: number;
  announcements: number;
  /** Announcements that were refused or not answered. */
  announcementsFailed: number;
}

/** A started execution of work with an identity. */
export interface Execution {
  readonly identity: string;
  readonly atMs: number;
}
