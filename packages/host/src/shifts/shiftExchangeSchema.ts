import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import { committedStepSchema } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import { z } from 'zod';

/** Schemas of the exchange by which hosts learn and acknowledge steps. */

/** A host tells which revision it holds. */
export const shiftExchangeSchema = z.strictObject({ revision: z.int().min(0) });

/** A control host answers with the steps that the host lacks. */
export const shiftExchangeReplySchema = z.strictObject({
  isLeader: z.boolean(),
  leaderId: idSchema.optional(),
  steps: z.array(committedStepSchema),
});

export type ShiftExchange = z.infer<typeof shiftExchangeSchema>;
export type ShiftExchangeReply = z.infer<typeof shiftExchangeReplySchema>;
