import { z } from 'zod';

import { idSchema } from '../common/primitives.js';

/** Schemas of the commands of a ledger group, their replies and the ledger snapshot. */

/** Identity of once-only work and the digest of its request. */
export const ledgerKeySchema = z.strictObject({
  service: idSchema,
  kind: idSchema,
  identity: z.string().min(1),
  requestDigest: z.string(),
});

/** A complete answer, stored so that it can be replayed to a resent request. */
export const storedAnswerSchema = z.strictObject({
  status: z.int(),
  headers: z.array(z.tuple([z.string(), z.string()]).readonly()).readonly(),
  bodyBase64: z.string().optional(),
});

/** How once-only work ended. */
export const ledgerOutcomeSchema = z.discriminatedUnion('outcome', [
  z.strictObject({ outcome: z.literal('answered'), answer: storedAnswerSchema }),
  z.strictObject({ outcome: z.literal('notRun') }),
  z.strictObject({ outcome: z.literal('unknown') }),
]);

/** The process that holds an intent. */
export const intentHolderSchema = z.strictObject({
  hostId: idSchema,
  incarnation: z.number(),
});

/** Requests permission to run the work of an identity. */
export const beginCommandSchema = z.strictObject({
  type: z.literal('begin'),
  key: ledgerKeySchema,
  intentId: z.string().min(1),
  holder: intentHolderSchema,
  atMs: z.number().describe('Wall time of the submitting host.'),
  deadlineAtMs: z.number().describe('Wall time after which the outcome counts as unknown.'),
});

/** Records how an intent ended; only its holder submits it. */
export const finishCommandSchema = z.strictObject({
  type: z.literal('finish'),
  intentId: z.string().min(1),
  outcome: ledgerOutcomeSchema,
  atMs: z.number(),
});

/** Cancels an intent so that it can never start; only its holder submits it, before any dispatch. */
export const cancelCommandSchema = z.strictObject({
  type: z.literal('cancel'),
  intentId: z.string().min(1),
  beganAtMs: z.number().describe('The `atMs` of the last begin command of the intent.'),
});

/** Sets the open intents of a failed or restarted process to `unknown`. */
export const loseHolderCommandSchema = z.strictObject({
  type: z.literal('loseHolder'),
  hostId: idSchema,
  maxIncarnation: z.number().describe('Highest incarnation whose intents are lost.'),
});

/**
 * Advances the ledger clock, sets overdue open intents to `unknown` and deletes entries past their
 * retention.
 */
export const retireCommandSchema = z.strictObject({
  type: z.literal('retire'),
  nowMs: z.number(),
});

/** Reads the state of an identity; changes nothing and needs no commit. */
export const findCommandSchema = z.strictObject({ type: z.literal('find'), key: ledgerKeySchema });

/** Every command of a ledger group. */
export const ledgerCommandSchema = z.discriminatedUnion('type', [
  beginCommandSchema,
  finishCommandSchema,
  cancelCommandSchema,
  loseHolderCommandSchema,
  retireCommandSchema,
  findCommandSchema,
]);

/** Every reply of a ledger group. */
export const ledgerReplySchema = z.discriminatedUnion('reply', [
  z.strictObject({ reply: z.literal('run') }),
  z.strictObject({ reply: z.literal('replay'), answer: storedAnswerSchema }),
  z.strictObject({
    reply: z.literal('running'),
    holder: intentHolderSchema,
    deadlineAtMs: z.number(),
  }),
  z.strictObject({
    reply: z.literal('unknown'),
    ofOwnIntent: z
      .literal(true)
      .optional()
      .describe('Set if the begin command is for the same intent whose outcome is unknown.'),
  }),
  z.strictObject({ reply: z.literal('free') }),
  z.strictObject({ reply: z.literal('answerNotKept') }),
  z.strictObject({ reply: z.literal('otherRequest') }),
  z.strictObject({
    reply: z.literal('refused'),
    reason: z.enum(['cancelled', 'stale', 'full']),
  }),
  z.strictObject({ reply: z.literal('recorded') }),
  z.strictObject({ reply: z.literal('superseded') }),
  z.strictObject({ reply: z.literal('cancelled') }),
  z.strictObject({ reply: z.literal('ended') }),
  z.strictObject({ reply: z.literal('lost'), intents: z.int() }),
  z.strictObject({ reply: z.literal('retired'), identities: z.int(), answers: z.int() }),
]);

const ledgerRecordSchema = z.strictObject({
  key: ledgerKeySchema,
  intentId: z.string(),
  holder: intentHolderSchema,
  state: z.enum(['open', 'answered', 'unknown']),
  beganAtMs: z.number(),
  deadlineAtMs: z.number(),
  retainFromMs: z.number().describe('Ledger clock when the intent was committed.'),
  answer: storedAnswerSchema.optional(),
  answeredIndex: z.int().optional().describe('Log index of the answer; orders eviction.'),
});

const cancelledIntentSchema = z.strictObject({ intentId: z.string(), beganAtMs: z.number() });

/** Snapshot of the complete state of a ledger. */
export const ledgerSnapshotSchema = z.strictObject({
  format: z.literal(1),
  clockMs: z.number(),
  records: z.array(ledgerRecordSchema),
  cancelled: z.array(cancelledIntentSchema),
});

export type LedgerCommand = z.infer<typeof ledgerCommandSchema>;
export type BeginCommand = z.infer<typeof beginCommandSchema>;
export type FinishCommand = z.infer<typeof finishCommandSchema>;
export type CancelCommand = z.infer<typeof cancelCommandSchema>;
export type LoseHolderCommand = z.infer<typeof loseHolderCommandSchema>;
export type RetireCommand = z.infer<typeof retireCommandSchema>;
export type FindCommand = z.infer<typeof findCommandSchema>;
export type LedgerReply = z.infer<typeof ledgerReplySchema>;
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>;
export type IntentHolder = z.infer<typeof intentHolderSchema>;
export type LedgerSnapshot = z.infer<typeof ledgerSnapshotSchema>;
