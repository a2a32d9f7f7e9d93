import { setTimeout as delay } from 'node:timers/promises';

import type {
  ConsensusEffect,
  ConsensusInput,
  ConsensusMessage,
  LogEntry,
  PersistEffect,
  Proposal,
  Snapshot,
} from '@buckthornlug/core/consensus/consensusTypes.js';
import { nextTickDueMs } from '@buckthornlug/core/consensus/nextDue.js';
import { holdsLease } from '@buckthornlug/core/consensus/commitment.js';
import { stateAgeMs, step } from '@buckthornlug/core/consensus/replica.js';
import {
  planReplicaChange,
  type ChangePlan,
  type RequestedChange,
} from '@buckthornlug/core/consensus/replicaChanges.js';
import { lastIndexOf, logBytes } from '@buckthornlug/core/consensus/replicaLog.js';
import {
  createReplica,
  doAllReadCompressed,
  isMember,
  type ReplicaState,
} from '@buckthornlug/core/consensus/replicaState.js';
import { hostIdOf } from '@buckthornlug/core/consensus/membership.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import { decodeBinary, encodeBinary } from './binaryCodec.js';
import { compressCommand, decodeCommand } from './commandCodec.js';
import { createConsensusOptions } from './consensusOptions.js';
import type { GroupDescription } from './consensusSchema.js';
import type { GroupTask, GroupTaskParts, ProposalResult } from './groupTaskTypes.js';
import { createMessageOutbox } from './messageOutbox.js';
import { PendingReads } from './pendingReads.js';
import { PendingReplies } from './pendingReplies.js';
import { reportEffect } from './reportEffect.js';
import { describeReplica } from './replicaDescription.js';
import { SnapshotTaker } from './snapshotTaker.js';
import { storageRetryDelayMs } from './storageRetry.js';

/** Task of one replica: passes inputs to its state machine and executes the effects. */

const maxTicksPerHeartbeat = 3;
const handOverPollIntervalMs = 10;

/** State, queues and timers of one replica. */
class ReplicaTask<Command, Reply> {
  readonly replicaId: string;

  private readonly state: ReplicaState;

  private readonly pendingReplies = new PendingReplies<Reply>();

  private readonly outbox;

  private readonly pendingReads;

  private readonly listeners = new Set<(logIndex: number) => void>();

  private tickTimer: NodeJS.Timeout | undefined;

  /** Time of the scheduled tick. */
  private nextTickAtMs = Infinity;

  private readonly minTickIntervalMs: number;

  private proposals: Proposal[] = [];

  private unwrittenEffects: PersistEffect[] = [];

  private isWriting = false;

  private currentWrite: Promise<void> = Promise.resolve();

  private storageFailure: Failure | undefined;

  private isStopped = false;

  private appliedIndex = 0;

  private readonly snapshotTaker;

  private readonly unsubscribeFromClock: (() => void) | undefined;

  constructor(private readonly parts: GroupTaskParts<Command, Reply>) {
    const { context, storage } = parts;
    const { timing, hostId } = context.settings;
    const { identity, durable } = storage.stored();
    if (durable === undefined) throw new Error('the replica has not joined its group');
    this.replicaId = `${hostId}/${identity.incarnation}`;
    const options = createConsensusOptions(
      timing.electionTimeoutMs,
      timing.heartbeatMs,
      parts.replacement,
    );
    this.snapshotTaker = new SnapshotTaker({
      capture: () => ({ index: this.appliedIndex, state: parts.machine.snapshot() }),
      save: (index, data) => this.handleInput({ kind: 'compact', index, data }),
      log: context.log,
    });
    this.restoreMachine(durable.snapshot);
    this.state = createReplica(this.replicaId, durable, options, context.clock.nowMs());
    this.unsubscribeFromClock = context.clock.onBreak?.((nowMs) => {
      this.state.trustedSinceMs = nowMs;
    });
    this.pendingReads = new PendingReads(context.clock, context.random, (readId) =>
      this.handleInput({ kind: 'read', readId }),
    );
    this.outbox = createMessageOutbox(parts.sendBatch, parts.sendHeartbeats);
    this.minTickIntervalMs = timing.heartbeatMs / maxTicksPerHeartbeat;
    this.scheduleTick();
  }

  /** Schedules the next tick, or brings it forward. */
  private scheduleTick(): void {
    const nowMs = this.parts.context.clock.nowMs();
    const dueMs = Math.max(nextTickDueMs(this.state), nowMs + this.minTickIntervalMs);
    if (dueMs >= this.nextTickAtMs || this.isStopped) return;
    clearTimeout(this.tickTimer);
    this.nextTickAtMs = dueMs;
    this.tickTimer = setTimeout(
      () => {
        this.nextTickAtMs = Infinity;
        this.handleInput({ kind: 'tick' });
        this.scheduleTick();
      },
      Math.ceil(dueMs - nowMs) + 1,
    );
  }

  /** Runs one step of the replica and executes its effects. */
  handleInput(input: ConsensusInput): void {
    if (this.isStopped || this.storageFailure !== undefined) return;
    const { clock, random } = this.parts.context;
    const stepContext = { nowMs: clock.nowMs(), random: random() };
    for (const effect of step(this.state, stepContext, input)) this.executeEffect(effect);
    this.scheduleTick();
  }

  private executeEffect(effect: ConsensusEffect): void {
    switch (effect.kind) {
      case 'persist':
        this.unwrittenEffects.push(effect);
        this.startNextWrite();
        break;
      case 'send':
        this.outbox.post(effect.message);
        break;
      case 'apply':
        this.apply(effect.entries);
        break;
      case 'restore':
        this.restoreMachine(effect.snapshot);
        this.pendingReplies.settleUnknownUpTo(effect.snapshot.index);
        this.notifyApplied();
        break;
      case 'accepted':
        this.pendingReplies.recordPosition(effect.proposalId, effect.index, effect.term);
        break;
      case 'refused':
        this.pendingReplies.refuse(effect.proposalId);
        break;
      case 'readReady':
      case 'readFailed':
        this.pendingReads.end(effect.readId, effect.kind === 'readReady');
        break;
      default:
        reportEffect(this.parts, effect);
    }
  }

  private restoreMachine(snapshot: Snapshot): void {
    this.appliedIndex = snapshot.index;
    this.snapshotTaker.recordRestored(snapshot.data.byteLength);
    if (snapshot.data.byteLength > 0) this.parts.machine.restore(decodeBinary(snapshot.data));
  }

  private apply(entries: readonly LogEntry[]): void {
    for (const { index, term, body } of entries) {
      let reply: Reply | undefined;
      if (body.kind === 'command') {
        const startedAtMs = performance.now();
        reply = this.parts.machine.apply(decodeCommand(body.data) as Command, index);
        this.snapshotTaker.recordApplied(body.data.byteLength, performance.now() - startedAtMs);
      }
      this.appliedIndex = index;
      this.pendingReplies.settleApplied(index, term, reply as Reply);
    }
    this.notifyApplied();
    setImmediate(() => this.snapshotTaker.takeIfDue());
  }

  private notifyApplied(): void {
    const { context, groupId } = this.parts;
    context.metrics.gauge('group_log_bytes', logBytes(this.state.log), { groupId });
    for (const listener of this.listeners) listener(this.appliedIndex);
  }

  /**
   * Writes the collected effects as one batch, unless a batch is being written; effects that arrive
   * during a write form the next batch.
   */
  private startNextWrite(): void {
    if (this.isWriting || this.unwrittenEffects.length === 0 || this.isStopped) return;
    this.isWriting = true;
    this.currentWrite = this.writeBatch();
  }

  private async writeBatch(): Promise<void> {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    if (this.isStopped) return;
    const batch = this.unwrittenEffects;
    this.unwrittenEffects = [];
    const waitForCurrentWrite = await this.parts.storage.write(batch);
    if (waitForCurrentWrite.isErr()) {
      this.suspendAfterStorageFailure(waitForCurrentWrite.error, batch);
      return;
    }
    this.isWriting = false;
    this.handleInput({ kind: 'synced', sequence: batch.at(-1)?.sequence ?? 0 });
    this.startNextWrite();
  }

  /** Ignores all inputs until the whole state has been rewritten. */
  private suspendAfterStorageFailure(problem: Failure, batch: readonly PersistEffect[]): void {
    const { context, groupId } = this.parts;
    this.unwrittenEffects = [...batch, ...this.unwrittenEffects];
    this.storageFailure = problem;
    context.log.error('storageFault', { groupId, code: problem.code, detail: problem.detail });
    context.record({ kind: 'storageFault', code: problem.code, detail: { groupId } });
    setTimeout(() => this.retryStorageWrite(), storageRetryDelayMs).unref();
  }

  private retryStorageWrite(): void {
    if (this.isStopped) return;
    const { term, votedFor, log } = this.state;
    const { snapshot } = log;
    const entries = log.entries.filter((entry) => entry.index > snapshot.index);
    const sequence = this.state.persistSequence;
    this.parts.storage.rewrite({ hardState: { term, votedFor }, snapshot, entries }).match(
      () => {
        this.unwrittenEffects = [];
        this.isWriting = false;
        this.storageFailure = undefined;
        this.handleInput({ kind: 'synced', sequence });
      },
      () => setTimeout(() => this.retryStorageWrite(), storageRetryDelayMs).unref(),
    );
  }

  /** Resolves when the batch that is being written, if any, is synced. */
  written(): Promise<void> {
    return this.isWriting ? this.currentWrite : Promise.resolve();
  }

  /** Handles messages of one host; resolves with the replies once the current write is synced. */
  async exchange(
    hostId: string,
    messages: readonly ConsensusMessage[],
  ): Promise<ConsensusMessage[]> {
    const collected = this.outbox.collect(hostId);
    for (const message of messages) this.handleInput({ kind: 'message', message });
    await this.written();
    return collected.end();
  }

  propose(
    command: Command,
    timeoutMs: number,
    encoded: Uint8Array = encodeBinary(command),
  ): ProposalResult<Reply> {
    if (this.state.role !== 'leader' || this.storageFailure !== undefined || this.isStopped) {
      return new ResultAsync(Promise.resolve(err(this.notLeaderFailure())));
    }
    const { proposalId, result } = this.pendingReplies.open(timeoutMs);
    const data = doAllReadCompressed(this.state) ? compressCommand(encoded) : encoded;
    this.proposals.push({ proposalId, data });
    if (this.proposals.length === 1) setImmediate(() => this.flushProposals());
    return result;
  }

  /** Answers from the state of the machine while the lease rules out another leader. */
  read(command: Command): Result<Reply, Failure> {
    const reply = this.isLeader() ? this.parts.machine.read?.(command) : undefined;
    return reply === undefined ? err(this.notLeaderFailure()) : ok(reply);
  }

  private flushProposals(): void {
    const { proposals } = this;
    this.proposals = [];
    this.handleInput({ kind: 'propose', proposals });
  }

  private notLeaderFailure(): Failure {
    if (this.storageFailure !== undefined) return failure('BL5001', this.storageFailure.detail);
    return failure('BL5001', 'this host does not lead the group');
  }

  readBarrier(timeoutMs: number): ResultAsync<void, Failure> {
    return new ResultAsync(this.pendingReads.awaitBarrier(timeoutMs));
  }

  onApplied(listener: (logIndex: number) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  isLeader(): boolean {
    if (this.storageFailure !== undefined || this.isStopped) return false;
    return holdsLease(this.state, this.parts.context.clock.nowMs());
  }

  leaderId(): string | undefined {
    return this.state.leader === null ? undefined : hostIdOf(this.state.leader);
  }

  stateAgeMs(): number {
    return stateAgeMs(this.state, this.parts.context.clock.nowMs());
  }

  isWaitingToJoin(): boolean {
    return !isMember(this.state.members, this.replicaId) && lastIndexOf(this.state.log) === 0;
  }

  mayBeRemoved(): boolean {
    return this.state.leader === null || !isMember(this.state.members, this.replicaId);
  }

  planChange(requested: RequestedChange): ChangePlan {
    if (!this.isLeader()) return { plan: 'refuse', reason: 'notLeader' };
    return planReplicaChange(this.state, requested, this.parts.context.clock.nowMs());
  }

  describe(): GroupDescription {
    const { groupId, storage } = this.parts;
    const { state, storageFailure } = this;
    const { formationId } = storage.stored().identity;
    const isLeader = this.isLeader();
    return describeReplica({ groupId, state, formationId, isLeader, storageFailure });
  }

  async handOver(): Promise<void> {
    if (this.state.role !== 'leader' || this.state.members.voters.length < 2) return;
    const { clock, settings } = this.parts.context;
    const deadlineMs = clock.nowMs() + 2 * settings.timing.electionTimeoutMs;
    this.handleInput({ kind: 'handOver' });
    while (this.state.role === 'leader' && clock.nowMs() < deadlineMs) {
      await delay(handOverPollIntervalMs);
    }
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    this.unsubscribeFromClock?.();
    this.snapshotTaker.close();
    clearTimeout(this.tickTimer);
    this.outbox.close();
    this.pendingReplies.close();
    this.pendingReads.close();
    await this.currentWrite;
    await this.parts.storage.close();
  }
}

/**
 * Starts the task of a replica that has joined its group.
 *
 * @param parts - machine, storage and transport
 */
export function startGroupTask<Command, Reply>(
  parts: GroupTaskParts<Command, Reply>,
): GroupTask<Command, Reply> {
  const task = new ReplicaTask(parts);
  return {
    replicaId: task.replicaId,
    exchange: (hostId, messages) => task.exchange(hostId, messages),
    deliver: (messages) => {
      for (const message of messages) task.handleInput({ kind: 'message', message });
    },
    propose: (command, timeoutMs, encoded) => task.propose(command, timeoutMs, encoded),
    read: (command) => task.read(command),
    readBarrier: (timeoutMs) => task.readBarrier(timeoutMs),
    onApplied: (listener) => task.onApplied(listener),
    isLeader: () => task.isLeader(),
    leaderId: () => task.leaderId(),
    stateAgeMs: () => task.stateAgeMs(),
    isWaitingToJoin: () => task.isWaitingToJoin(),
    mayBeRemoved: () => task.mayBeRemoved(),
    addReplica: (replicaId) =>
      task.handleInput({ kind: 'changeMembers', change: { change: 'add', replicaId } }),
    changeMembers: (change) => task.handleInput({ kind: 'changeMembers', change }),
    planChange: (requested) => task.planChange(requested),
    describe: () => task.describe(),
    handOver: () => task.handOver(),
    stop: () => task.stop(),
  };
}
