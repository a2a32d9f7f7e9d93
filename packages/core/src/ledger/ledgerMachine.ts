import {
  ledgerSnapshotSchema,
  type BeginCommand,
  type CancelCommand,
  type FindCommand,
  type FinishCommand,
  type LedgerCommand,
  type LedgerRecord,
  type LedgerReply,
  type LoseHolderCommand,
  type RetireCommand,
} from '@buckthornlug/protocol/ledger/ledgerSchema.js';

import type { ReplicatedMachine } from '../consensus/replicatedMachineTypes.js';
import { defaultLedgerLimits, type LedgerLimits } from './ledgerLimits.js';
import { LedgerStore } from './ledgerStore.js';

/** Replicated state machine of a ledger, which records work that must run at most once. */
export type LedgerMachine = ReplicatedMachine<LedgerCommand, LedgerReply>;

/** Whether the command comes from a later incarnation of the host that holds the intent. */
function hasHolderRestarted(record: LedgerRecord, command: BeginCommand): boolean {
  if (record.holder.hostId !== command.holder.hostId) return false;
  return record.holder.incarnation < command.holder.incarnation;
}

function replyToAnswered(record: LedgerRecord): LedgerReply {
  if (record.answer?.bodyBase64 === undefined) return { reply: 'answerNotKept' };
  return { reply: 'replay', answer: record.answer };
}

function replyToUnknown(record: LedgerRecord, command: BeginCommand): LedgerReply {
  if (record.intentId !== command.intentId) return { reply: 'unknown' };
  return { reply: 'unknown', ofOwnIntent: true };
}

/**
 * Creates an empty ledger.
 *
 * An identity is bound to at most one intent. It becomes free only when the holder of that intent
 * proves that the work did not run, or when its retention ends; an unknown outcome keeps it bound.
 *
 * @param limits - must be the same on all replicas
 */
export function createLedgerMachine(limits: LedgerLimits = defaultLedgerLimits): LedgerMachine {
  const store = new LedgerStore(limits);

  const replyToOpen = (record: LedgerRecord, command: BeginCommand): LedgerReply => {
    if (record.intentId === command.intentId) return { reply: 'run' };
    const isOverdue = command.atMs > record.deadlineAtMs + limits.outcomeGraceMs;
    if (isOverdue || hasHolderRestarted(record, command)) {
      store.markUnknown(record);
      return { reply: 'unknown' };
    }
    return { reply: 'running', holder: record.holder, deadlineAtMs: record.deadlineAtMs };
  };

  const find = (command: FindCommand): LedgerReply => {
    const record = store.find(command.key);
    if (record === undefined) return { reply: 'free' };
    if (record.key.requestDigest !== command.key.requestDigest) return { reply: 'otherRequest' };
    if (record.state === 'answered') return replyToAnswered(record);
    if (record.state === 'unknown') return { reply: 'unknown' };
    return { reply: 'running', holder: record.holder, deadlineAtMs: record.deadlineAtMs };
  };

  const openIntent = (command: BeginCommand): LedgerReply => {
    if (store.isFull()) return { reply: 'refused', reason: 'full' };
    store.open({
      key: command.key,
      intentId: command.intentId,
      holder: command.holder,
      state: 'open',
      beganAtMs: command.atMs,
      deadlineAtMs: command.deadlineAtMs,
      retainFromMs: store.nowMs,
    });
    return { reply: 'run' };
  };

  const begin = (command: BeginCommand): LedgerReply => {
    if (store.isStale(command.atMs)) return { reply: 'refused', reason: 'stale' };
    if (store.isCancelled(command.intentId)) return { reply: 'refused', reason: 'cancelled' };
    const record = store.find(command.key);
    if (record === undefined) return openIntent(command);
    if (record.key.requestDigest !== command.key.requestDigest) return { reply: 'otherRequest' };
    if (record.state === 'answered') return replyToAnswered(record);
    if (record.state === 'unknown') return replyToUnknown(record, command);
    return replyToOpen(record, command);
  };

  const finish = (command: FinishCommand, logIndex: number): LedgerReply => {
    const record = store.findByIntent(command.intentId);
    if (record === undefined) {
      const isRepeated =
        command.outcome.outcome === 'notRun' && store.isCancelled(command.intentId);
      return { reply: isRepeated ? 'recorded' : 'superseded' };
    }
    if (record.state === 'answered') {
      return { reply: command.outcome.outcome === 'answered' ? 'recorded' : 'superseded' };
    }
    // A record with an unknown outcome still binds its identity, so no other intent can hold it.
    if (command.outcome.outcome === 'answered') {
      store.markAnswered(record, command.outcome.answer, logIndex);
    } else if (command.outcome.outcome === 'notRun') {
      store.free(record, command.atMs);
    } else {
      store.markUnknown(record);
    }
    return { reply: 'recorded' };
  };

  const cancel = (command: CancelCommand): LedgerReply => {
    const record = store.findByIntent(command.intentId);
    if (record === undefined) {
      store.cancel(command.intentId, command.beganAtMs);
      return { reply: 'cancelled' };
    }
    if (record.state === 'answered') return { reply: 'ended' };
    store.free(record, command.beganAtMs);
    return { reply: 'cancelled' };
  };

  const loseHolder = (command: LoseHolderCommand): LedgerReply => {
    let lostIntents = 0;
    for (const record of store.listOpenRecords()) {
      if (record.holder.hostId !== command.hostId) continue;
      if (record.holder.incarnation > command.maxIncarnation) continue;
      store.markUnknown(record);
      lostIntents += 1;
    }
    return { reply: 'lost', intents: lostIntents };
  };

  const retire = (command: RetireCommand): LedgerReply => {
    store.advanceClock(command.nowMs);
    for (const record of store.listOpenRecords()) {
      if (record.deadlineAtMs + limits.outcomeGraceMs < store.nowMs) store.markUnknown(record);
    }
    const answers = store.expireAnswers();
    return { reply: 'retired', identities: store.expireIdentities(), answers };
  };

  return {
    apply: (command, logIndex) => {
      if (command.type === 'begin') return begin(command);
      if (command.type === 'finish') return finish(command, logIndex);
      if (command.type === 'cancel') return cancel(command);
      if (command.type === 'loseHolder') return loseHolder(command);
      if (command.type === 'find') return find(command);
      return retire(command);
    },
    read: (command) => (command.type === 'find' ? find(command) : { reply: 'superseded' }),
    snapshot: () => store.snapshot(),
    restore: (snapshot) => store.restore(ledgerSnapshotSchema.parse(snapshot)),
  };
}
