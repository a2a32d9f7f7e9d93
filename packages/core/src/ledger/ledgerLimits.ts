/** Limits of one ledger. All replicas of a group must use the same limits. */
export interface LedgerLimits {
  /** Maximum number of identities and cancelled intents. Work beyond it is refused as not run. */
  readonly maxIdentities: number;
  /** Maximum number of stored answers. The oldest are evicted first; their identities stay. */
  readonly maxAnswers: number;
  /** Maximum total size of the stored answer bodies, in base64. */
  readonly maxTotalAnswerBytes: number;
  /** Time for which the body of an answer is stored. */
  readonly answerRetentionMs: number;
  /** Time for which an identity is stored; longer than its answer. */
  readonly identityRetentionMs: number;
  /**
   * Age beyond which a begin command is refused. Cancellations are stored for the same time, so
   * a late begin command of a cancelled intent is always refused.
   */
  readonly maxBeginAgeMs: number;
  /** Time after its deadline at which the outcome of an open intent becomes unknown. */
  readonly outcomeGraceMs: number;
  /** Maximum advance of the ledger's clock by one retire command. */
  readonly maxClockStepMs: number;
}

const hourMs = 3_600_000;

/** Limits of every ledger that a host runs. */
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
