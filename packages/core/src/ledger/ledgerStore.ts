import type { LedgerRecord, LedgerSnapshot } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import type { LedgerKey, StoredAnswer } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import type { LedgerLimits } from './ledgerLimits.js';

function recordIdOf(key: LedgerKey): string {
  return `${key.service}/${key.kind}/${key.identity}`;
}

function bodyBytesOf(answer: StoredAnswer | undefined): number {
  return answer?.bodyBase64?.length ?? 0;
}

function withoutBody(answer: StoredAnswer): StoredAnswer {
  return { status: answer.status, headers: answer.headers };
}

/** Records of a ledger, indexed by identity, intent and state. */
export class LedgerStore {
  /** Records by identity, in the order in which their intents were committed. */
  private records = new Map<string, LedgerRecord>();

  private recordIdByIntent = new Map<string, string>();

  private openRecordIds = new Set<string>();

  /** Ids of the records whose answer bodies are stored, oldest answer first. */
  private storedAnswerIds = new Set<string>();

  private storedAnswerBytes = 0;

  /** Time of the last begin command, by cancelled intent. */
  private cancelled = new Map<string, number>();

  private clockMs = 0;

  constructor(private readonly limits: LedgerLimits) {}

  /** Replicated clock, set only by retire commands; 0 before the first one. */
  get nowMs(): number {
    return this.clockMs;
  }

  find(key: LedgerKey): LedgerRecord | undefined {
    return this.records.get(recordIdOf(key));
  }

  findByIntent(intentId: string): LedgerRecord | undefined {
    const id = this.recordIdByIntent.get(intentId);
    return id === undefined ? undefined : this.records.get(id);
  }

  isCancelled(intentId: string): boolean {
    return this.cancelled.has(intentId);
  }

  isFull(): boolean {
    return this.records.size + this.cancelled.size >= this.limits.maxIdentities;
  }

  /** Adds an open record, whose identity must be free. */
  open(record: LedgerRecord): void {
    const id = recordIdOf(record.key);
    this.records.set(id, record);
    this.recordIdByIntent.set(record.intentId, id);
    this.openRecordIds.add(id);
  }

  /** Marks the outcome of a record as unknown. */
  markUnknown(record: LedgerRecord): void {
    const id = recordIdOf(record.key);
    this.records.set(id, { ...record, state: 'unknown' });
    this.openRecordIds.delete(id);
  }

  /** Stores the answer of a record and evicts the oldest answers beyond the limits. */
  markAnswered(record: LedgerRecord, answer: StoredAnswer, logIndex: number): void {
    const id = recordIdOf(record.key);
    this.openRecordIds.delete(id);
    this.records.set(id, { ...record, state: 'answered', answer, answeredIndex: logIndex });
    if (answer.bodyBase64 === undefined) return;
    this.storedAnswerIds.add(id);
    this.storedAnswerBytes += bodyBytesOf(answer);
    this.evictAnswers();
  }

  /**
   * Frees the identity of a record and cancels its intent.
   *
   * @param lastBeginAtMs - wall time of the holder, not before its last begin command of the intent
   */
  free(record: LedgerRecord, lastBeginAtMs: number): void {
    this.remove(recordIdOf(record.key), record);
    this.cancel(record.intentId, Math.max(record.beganAtMs, lastBeginAtMs));
  }

  /** Records an intent as cancelled, so that a begin command that arrives later is refused. */
  cancel(intentId: string, beganAtMs: number): void {
    this.cancelled.set(intentId, beganAtMs);
  }

  /** Lists the records that have no outcome yet. */
  listOpenRecords(): LedgerRecord[] {
    const open: LedgerRecord[] = [];
    for (const id of this.openRecordIds) {
      const record = this.records.get(id);
      if (record !== undefined) open.push(record);
    }
    return open;
  }

  /** Advances the clock by at most `maxClockStepMs`, never backwards. The first call sets it. */
  advanceClock(nowMs: number): void {
    if (this.clockMs === 0) this.restartRetention(nowMs);
    const maxClockMs = this.clockMs === 0 ? nowMs : this.clockMs + this.limits.maxClockStepMs;
    this.clockMs = Math.max(this.clockMs, Math.min(nowMs, maxClockMs));
  }

  /** Drops identities beyond their retention and cancelled intents whose begin command is stale. */
  expireIdentities(): number {
    let dropped = 0;
    for (const [id, record] of this.records) {
      if (record.retainFromMs + this.limits.identityRetentionMs > this.clockMs) break;
      this.remove(id, record);
      dropped += 1;
    }
    for (const [intentId, beganAtMs] of this.cancelled) {
      if (this.isStale(beganAtMs)) this.cancelled.delete(intentId);
    }
    return dropped;
  }

  /** Drops the bodies of answers beyond their retention. */
  expireAnswers(): number {
    let dropped = 0;
    for (const id of this.storedAnswerIds) {
      const record = this.records.get(id);
      if (record === undefined) continue;
      if (record.retainFromMs + this.limits.answerRetentionMs > this.clockMs) break;
      this.dropAnswerBody(id);
      dropped += 1;
    }
    return dropped;
  }

  /** Whether a begin command of the given time is too old to be accepted. */
  isStale(beganAtMs: number): boolean {
    return beganAtMs + this.limits.maxBeginAgeMs < this.clockMs;
  }

  snapshot(): LedgerSnapshot {
    const cancelled = [...this.cancelled].map(([intentId, beganAtMs]) => ({ intentId, beganAtMs }));
    return { format: 1, clockMs: this.clockMs, records: [...this.records.values()], cancelled };
  }

  restore(snapshot: LedgerSnapshot): void {
    this.clockMs = snapshot.clockMs;
    this.records = new Map();
    this.recordIdByIntent = new Map();
    this.openRecordIds = new Set();
    this.storedAnswerIds = new Set();
    this.storedAnswerBytes = 0;
    this.cancelled = new Map(snapshot.cancelled.map((each) => [each.intentId, each.beganAtMs]));
    for (const record of snapshot.records) {
      const id = recordIdOf(record.key);
      this.records.set(id, record);
      this.recordIdByIntent.set(record.intentId, id);
      if (record.state === 'open') this.openRecordIds.add(id);
    }
    this.rebuildStoredAnswers(snapshot.records);
  }

  /** Starts the retention of the records that were opened before the clock was set. */
  private restartRetention(nowMs: number): void {
    for (const [id, record] of this.records) {
      this.records.set(id, { ...record, retainFromMs: nowMs });
    }
  }

  private rebuildStoredAnswers(records: readonly LedgerRecord[]): void {
    const stored = records.filter((record) => record.answer?.bodyBase64 !== undefined);
    stored.sort((left, right) => (left.answeredIndex ?? 0) - (right.answeredIndex ?? 0));
    for (const record of stored) {
      this.storedAnswerIds.add(recordIdOf(record.key));
      this.storedAnswerBytes += bodyBytesOf(record.answer);
    }
  }

  private evictAnswers(): void {
    for (const id of this.storedAnswerIds) {
      const hasTooMany = this.storedAnswerIds.size > this.limits.maxAnswers;
      if (!hasTooMany && this.storedAnswerBytes <= this.limits.maxTotalAnswerBytes) return;
      this.dropAnswerBody(id);
    }
  }

  private dropAnswerBody(id: string): void {
    const record = this.records.get(id);
    if (record?.answer === undefined) return;
    this.storedAnswerBytes -= bodyBytesOf(record.answer);
    this.storedAnswerIds.delete(id);
    this.records.set(id, { ...record, answer: withoutBody(record.answer) });
  }

  private remove(id: string, record: LedgerRecord): void {
    if (this.storedAnswerIds.delete(id)) this.storedAnswerBytes -= bodyBytesOf(record.answer);
    this.openRecordIds.delete(id);
    this.recordIdByIntent.delete(record.intentId);
    this.records.delete(id);
  }
}
