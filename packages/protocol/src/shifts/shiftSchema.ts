import { z } from 'zod';

import { idSchema, permilleSchema } from '../common/primitives.js';

/** Schemas of the durable steps that shift traffic between regions and zones. */

/** Traffic that a step shifts: that of one region or zone for one service. */
export const shiftUnitSchema = z.strictObject({
  service: idSchema,
  scope: z.enum(['region', 'zone']),
  place: idSchema.describe('Region or availability zone whose own traffic is shifted.'),
});

/** One step; the steps of a unit are numbered from 1 in each document version. */
export const shiftStepSchema = z.strictObject({
  ...shiftUnitSchema.shape,
  documentVersion: z.int().min(0),
  number: z.int().min(1),
  movedPermille: permilleSchema.describe('Share of the traffic that runs elsewhere.'),
});

/** A committed step; its revision orders all steps. */
export const committedStepSchema = z.strictObject({
  ...shiftStepSchema.shape,
  revision: z.int().min(1),
});

/** Command of the control group that commits a step. */
export const shiftStepCommandSchema = z.strictObject({
  type: z.literal('shiftStep'),
  step: shiftStepSchema,
});

/** The last committed step of each unit. */
export const shiftSnapshotSchema = z.strictObject({
  revision: z.int().min(0),
  steps: z.array(committedStepSchema),
});

export type ShiftUnit = z.infer<typeof shiftUnitSchema>;
export type ShiftScope = ShiftUnit['scope'];
export type ShiftStep = z.infer<typeof shiftStepSchema>;
export type CommittedStep = z.infer<typeof committedStepSchema>;
export type ShiftStepCommand = z.infer<typeof shiftStepCommandSchema>;
export type ShiftSnapshot = z.infer<typeof shiftSnapshotSchema>;
