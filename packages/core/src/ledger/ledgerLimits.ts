/** Bounds of one ledger. Every replica of a group must use the same. */
export interface LedgerLimits {
  /** Identities kept at most; beyond it new work is refused as not run. */
  readonly maxIdentities: number;
  /** Answers kept at most; the oldest answers go first, their identities stay. */
  readonly maxAnswers: number;
  /** Bytes of kept answers at most, as base64. */
  readonly maxTotalAnswerBytes: number;
  /** Time for which an answer is kept. */
  readonly answerRetentionMs: number;
  /** Time for which an identity is kept; longer than its answer. */
  readonly identityRetentionMs: number;
  /** Age beyond which a begin command is refused, whether it was cancelled or not. */
  readonly maxBeginAgeMs: number;
  /** Time beyond the deadline after which an open intent counts as unknown. */
  readonly outcomeGraceMs: number;
  /** Largest advance of the ledger's clock by one command. */
  readonly maxClockStepMs: number;
}

const hourMs = 3_600_000;

/** Bounds of the ledgers of a host. */
export const defaultLedgerLimits: LedgerLimits = {
  maxIdentities: 500_000,
  maxAnswers: 50_000,
  maxTotalAnswerBytes: 67_108_864,
  answerRetentionMs: 24 * hourMs,
  identityRetentionMs: 48 * hourMs,
  maxBeginAgeMs: 600_000,
  outcomeGraceMs: 1000,
  maxClockStepMs: 20_000,
};

/** Interval at which the leader of a ledger group submits a retire command. */
export const retireIntervalMs = 10_000;
