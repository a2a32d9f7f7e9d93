import type { LedgerRecord, LedgerSnapshot } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import type { LedgerKey, StoredAnswer } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import type { LedgerLimits } from './ledgerLimits.js';

function keyId(key: LedgerKey): string {
  return `${key.service}/${key.kind}/${key.identity}`;
}

function answerBytes(answer: StoredAnswer | undefined): number {
  return answer?.bodyBase64?.length ?? 0;
}

function withoutBody(answer: StoredAnswer): StoredAnswer {
  return { status: answer.status, headers: answer.headers };
}

/** The records of a ledger with the indexes that its rules need. */
export class LedgerStore {
  /** Records by identity, in the order of their intents. */
  private records = new Map<string, LedgerRecord>();

  private keyIdByIntent = new Map<string, string>();

  private openKeyIds = new Set<string>();

  /** Identities whose answers are kept, in the order of the answers. */
  private answeredKeyIds = new Set<string>();

  private keptBytes = 0;

  /** Time of the begin command by cancelled intent. */
  private cancelled = new Map<string, number>();

  private clockMs = 0;

  constructor(private readonly limits: LedgerLimits) {}

  get nowMs(): number {
    return this.clockMs;
  }

  find(key: LedgerKey): LedgerRecord | undefined {
    return this.records.get(keyId(key));
  }

  findIntent(intentId: string): LedgerRecord | undefined {
    const id = this.keyIdByIntent.get(intentId);
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
    const id = keyId(record.key);
    this.records.set(id, record);
    this.keyIdByIntent.set(record.intentId, id);
    this.openKeyIds.add(id);
  }

  /** Marks a record as unknown. */
  markUnknown(record: LedgerRecord): void {
    const id = keyId(record.key);
    this.records.set(id, { ...record, state: 'unknown' });
    this.openKeyIds.delete(id);
  }

  /** Keeps the answer of a record and evicts the oldest answers beyond the bounds. */
  markAnswered(record: LedgerRecord, answer: StoredAnswer, logIndex: number): void {
    const id = keyId(record.key);
    this.openKeyIds.delete(id);
    this.records.set(id, { ...record, state: 'answered', answer, answeredIndex: logIndex });
    if (answer.bodyBase64 === undefined) return;
    this.answeredKeyIds.add(id);
    this.keptBytes += answerBytes(answer);
    this.evictAnswers();
  }

  /**
   * Frees an identity; its intent can never start again.
   *
   * @param record - record of the intent
   * @param lastBeginAtMs - time of the holder after its last begin command of the intent
   */
  free(record: LedgerRecord, lastBeginAtMs: number): void {
    this.remove(keyId(record.key), record);
    this.cancel(record.intentId, Math.max(record.beganAtMs, lastBeginAtMs));
  }

  /** Makes sure that an intent never starts. */
  cancel(intentId: string, beganAtMs: number): void {
    this.cancelled.set(intentId, beganAtMs);
  }

  /** Records whose outcome is still open. */
  openRecords(): LedgerRecord[] {
    const open: LedgerRecord[] = [];
    for (const id of this.openKeyIds) {
      const record = this.records.get(id);
      if (record !== undefined) open.push(record);
    }
    return open;
  }

  /** Moves the clock forward, never back, by a bounded step. */
  advance(nowMs: number): void {
    if (this.clockMs === 0) this.retainAllFrom(nowMs);
    const highestMs = this.clockMs === 0 ? nowMs : this.clockMs + this.limits.maxClockStepMs;
    this.clockMs = Math.max(this.clockMs, Math.min(nowMs, highestMs));
  }

  /** Drops identities and cancelled intents beyond their retention. */
  dropOldIdentities(): number {
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
  dropOldAnswers(): number {
    let dropped = 0;
    for (const id of this.answeredKeyIds) {
      const record = this.records.get(id);
      if (record === undefined) continue;
      if (record.retainFromMs + this.limits.answerRetentionMs > this.clockMs) break;
      this.dropAnswer(id);
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
    this.keyIdByIntent = new Map();
    this.openKeyIds = new Set();
    this.answeredKeyIds = new Set();
    this.keptBytes = 0;
    this.cancelled = new Map(snapshot.cancelled.map((each) => [each.intentId, each.beganAtMs]));
    for (const record of snapshot.records) {
      const id = keyId(record.key);
      this.records.set(id, record);
      this.keyIdByIntent.set(record.intentId, id);
      if (record.state === 'open') this.openKeyIds.add(id);
    }
    this.restoreAnswerOrder(snapshot.records);
  }

  /** Counts the retention of the records that were opened before the clock was known. */
  private retainAllFrom(nowMs: number): void {
    for (const [id, record] of this.records) {
      this.records.set(id, { ...record, retainFromMs: nowMs });
    }
  }

  private restoreAnswerOrder(records: readonly LedgerRecord[]): void {
    const kept = records.filter((record) => record.answer?.bodyBase64 !== undefined);
    kept.sort((left, right) => (left.answeredIndex ?? 0) - (right.answeredIndex ?? 0));
    for (const record of kept) {
      this.answeredKeyIds.add(keyId(record.key));
      this.keptBytes += answerBytes(record.answer);
    }
  }

  private evictAnswers(): void {
    for (const id of this.answeredKeyIds) {
      const tooMany = this.answeredKeyIds.size > this.limits.maxAnswers;
      if (!tooMany && this.keptBytes <= this.limits.maxAnswerBytes) return;
      this.dropAnswer(id);
    }
  }

  private dropAnswer(id: string): void {
    const record = this.records.get(id);
    if (record?.answer === undefined) return;
    this.keptBytes -= answerBytes(record.answer);
    this.answeredKeyIds.delete(id);
    this.records.set(id, { ...record, answer: withoutBody(record.answer) });
  }

  private remove(id: string, record: LedgerRecord): void {
    if (this.answeredKeyIds.delete(id)) this.keptBytes -= answerBytes(record.answer);
    this.openKeyIds.delete(id);
    this.keyIdByIntent.delete(record.intentId);
    this.records.delete(id);
  }
}
