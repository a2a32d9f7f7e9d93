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

/** The records of a ledger with the indexes that its rules need. */
export class LedgerStore {
  /** Records by identity, in the order of their intents. */
  private records = new Map<string, LedgerRecord>();

  private recordIdByIntent = new Map<string, string>();

  private openRecordIds = new Set<string>();

  /** Identities whose answers are kept, in the order of the answers. */
  private storedAnswerIds = new Set<string>();

  private storedAnswerBytes = 0;

  /** Time of the begin command by cancelled intent. */
  private cancelled = new Map<string, number>();

  private clockMs = 0;

  constructor(private readonly limits: LedgerLimits) {}

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

  /** Adds an open record; its identity must be free. */
  open(record: LedgerRecord): void {
    const id = recordIdOf(record.key);
    this.records.set(id, record);
    this.recordIdByIntent.set(record.intentId, id);
    this.openRecordIds.add(id);
  }

  /** Marks a record as unknown. */
  markUnknown(record: LedgerRecord): void {
    const id = recordIdOf(record.key);
    this.records.set(id, { ...record, state: 'unknown' });
    this.openRecordIds.delete(id);
  }

  /** Keeps the answer of a record and evicts the oldest answers beyond the bounds. */
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
   * Frees an identity; its intent can never start again.
   *
   * @param record - record of the intent
   * @param lastBeginAtMs - time of the holder after its last begin command of the intent
   */
  free(record: LedgerRecord, lastBeginAtMs: number): void {
    this.remove(recordIdOf(record.key), record);
    this.cancel(record.intentId, Math.max(record.beganAtMs, lastBeginAtMs));
  }

  /** Makes sure that an intent never starts. */
  cancel(intentId: string, beganAtMs: number): void {
    this.cancelled.set(intentId, beganAtMs);
  }

  /** Records whose outcome is still open. */
  listOpenRecords(): LedgerRecord[] {
    const open: LedgerRecord[] = [];
    for (const id of this.openRecordIds) {
      const record = this.records.get(id);
      if (record !== undefined) open.push(record);
    }
    return open;
  }

  /** Moves the clock forward, never back, by a bounded step. */
  advanceClock(nowMs: number): void {
    if (this.clockMs === 0) this.restartRetention(nowMs);
    const maxClockMs = this.clockMs === 0 ? nowMs : this.clockMs + this.limits.maxClockStepMs;
    this.clockMs = Math.max(this.clockMs, Math.min(nowMs, maxClockMs));
  }

  /** Drops identities and cancelled intents beyond their retention. */
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

  /** Whether a begin command of that time is too old to be taken. */
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

  /** Counts the retention of the records that were opened before the clock was known. */
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
      const tooMany = this.storedAnswerIds.size > this.limits.maxAnswers;
      if (!tooMany && this.storedAnswerBytes <= this.limits.maxTotalAnswerBytes) return;
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
