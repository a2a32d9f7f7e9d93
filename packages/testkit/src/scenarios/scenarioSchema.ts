import { idSchema, permilleSchema } from '@buckthornlug/protocol/common/primitives.js';
import { z } from 'zod';

import { answerFaultSchema } from '../fakes/fakeBackendTypes.js';

/** The language of scenarios: a deployment, a document, and steps in order. */

const deploymentSchema = z.strictObject({
  regions: z.record(idSchema, z.array(idSchema).min(1)).describe('Zones of each region.'),
  hostsPerZone: z.int().min(1).max(4),
  groups: z.record(idSchema, z.array(idSchema).min(1)).describe('Replicated groups.'),
});

const backendsSchema = z.strictObject({
  service: idSchema,
  zone: idSchema,
  count: z.int().min(1).max(20),
  slots: z.int().min(1).default(3),
  serviceTimeMs: z.number().positive().default(20),
});

const startStep = z.strictObject({ do: z.literal('start'), hosts: z.array(idSchema).optional() });
const announceStep = z.strictObject({ do: z.literal('announce'), backends: backendsSchema });

const submitStep = z.strictObject({
  do: z.literal('submit'),
  /** Values by slash-separated path, such as `traffic/shop/drainedRegions`. */
  set: z.record(z.string(), z.unknown()).default({}),
  admin: idSchema.optional().describe('Host that gets the submission; any live one where absent.'),
  submissionId: z.string().optional(),
  times: z.int().min(1).max(1000).default(1).describe('Number of submissions, one after another.'),
  /** Takes the document that was fetched before this many submissions as the base. */
  staleBy: z.int().min(0).default(0),
  expect: z.string().default('accepted').describe('`accepted` or a result code.'),
});

const callStep = z.strictObject({
  do: z.literal('call'),
  name: idSchema.describe('Name of the group of calls in `expect`.'),
  kind: idSchema,
  service: idSchema,
  zone: idSchema.describe('Zone of the callers.'),
  callsPerS: z.number().positive().max(5000),
  forMs: z.number().positive().max(60_000),
  identities: z
    .int()
    .min(1)
    .optional()
    .describe('Number of identities; one for each call where absent.'),
  callersOf: idSchema
    .optional()
    .describe('Zone whose client block the callers are in; they call hosts of `zone`.'),
  resend: z.boolean().default(false).describe('Resend through another host until an answer comes.'),
});

const hostStep = z.strictObject({
  do: z.enum(['kill', 'stop', 'pause', 'resume', 'restart']),
  host: idSchema,
  emptyDisk: z.boolean().default(false),
});

const backendStep = z.strictObject({
  do: z.enum(['killBackend', 'drainBackend', 'leaveBackend', 'muteBackend']),
  service: idSchema,
  zone: idSchema,
  count: z.int().min(1).default(1),
});

const behaveStep = z.strictObject({
  do: z.literal('behave'),
  service: idSchema,
  zone: idSchema,
  count: z.int().min(1).default(1),
  answerFault: answerFaultSchema.default('none'),
  faultShare: z.number().min(0).max(1).default(1),
  statedInFlight: z
    .int()
    .min(0)
    .optional()
    .describe('Load that is announced in place of the true one.'),
});

const linkStep = z.strictObject({
  do: z.enum(['cut', 'heal']),
  from: idSchema.describe('Zone whose requests are cut.'),
  to: idSchema.describe('Zone that is not reached.'),
  bothWays: z.boolean().default(true),
});

const waitStep = z.strictObject({ do: z.literal('wait'), ms: z.number().positive().max(30_000) });
const joinStep = z.strictObject({ do: z.literal('join'), name: idSchema });

const expectStep = z.strictObject({
  do: z.literal('expect'),
  withinMs: z.number().min(0).max(60_000).default(0),
  that: z.union([
    z.strictObject({
      calls: idSchema,
      figure: z
        .enum([
          'sent',
          'answered',
          'refused',
          'broken',
          'foreign',
          'doubleRuns',
          'falseNotRun',
          'inTargetPermille',
        ])
        .describe('Figure of a group of calls.'),
      atLeast: z.number().optional(),
      atMost: z.number().optional(),
    }),
    z.strictObject({
      inForce: z.enum(['lastAccepted']),
      hosts: z.array(idSchema).optional().describe('All live hosts where absent.'),
    }),
    z.strictObject({
      event: z.string(),
      host: idSchema.optional(),
      service: idSchema.optional(),
      atLeast: z.int().default(1),
    }),
    z.strictObject({
      newCallsOn: z.strictObject({ service: idSchema, zone: idSchema }),
      state: z.enum(['draining', 'leaving', 'muted']),
      sinceMs: z.number().describe('Calls that started later than this after the change of state.'),
      atMost: z.int(),
    }),
    z.strictObject({
      shedOn: idSchema.describe('Service whose backend servers shed calls beyond their slots.'),
      atMost: z.int(),
    }),
    z.strictObject({
      busiestSecondOn: z.strictObject({ service: idSchema, zones: z.array(idSchema).min(1) }),
      atMost: z.number().describe('Calls that start within any one second.'),
      atLeast: z.number().default(0),
    }),
    z.strictObject({ exitStatus: z.int(), host: idSchema }),
  ]),
});

const stepSchema = z.discriminatedUnion('do', [
  startStep,
  announceStep,
  submitStep,
  callStep,
  hostStep,
  backendStep,
  behaveStep,
  linkStep,
  waitStep,
  joinStep,
  expectStep,
]);

/** One scenario. */
export const scenarioSchema = z.strictObject({
  title: z.string().min(1).describe('The behaviour that is shown, as a sentence.'),
  seed: z.int().default(1),
  deployment: deploymentSchema,
  floorsPermille: z.record(idSchema, permilleSchema).default({}),
  steps: z.array(stepSchema).min(1),
});

export type Scenario = z.infer<typeof scenarioSchema>;
export type ScenarioStep = z.infer<typeof stepSchema>;
export type StepOf<Name extends ScenarioStep['do']> = Extract<ScenarioStep, { do: Name }>;
export type Expectation = StepOf<'expect'>['that'];
