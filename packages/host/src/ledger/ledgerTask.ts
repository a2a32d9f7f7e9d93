import { selectLedgerGroup } from '@buckthornlug/core/ledger/ledgerGroup.js';
import type {
  BeginCommand,
  IntentHolder,
  LedgerCommand,
  LedgerReply,
} from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  LedgerDecision,
  LedgerKey,
  LedgerOutcome,
} from '@buckthornlug/protocol/steering/ledgerTypes.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { LedgerHooks } from '../runtime/hostParts.js';
import { GroupSubmitter, mayBeCommitted } from './groupSubmitter.js';
import { toLedgerDecision, refuseNotLookedUp, refuseStillRunning } from './ledgerReplies.js';
import type { LedgerGroup, LedgerTaskParts, OpenIntent } from './ledgerTaskTypes.js';

/** Range of the backoff between two tries of a command. */
const initialBackoffMs = 25;
const maxBackoffMs = 400;
/** Fraction of the time until the deadline that committing an intent may take. */
const beginFraction = 0.5;
/** Time before the deadline at which a waiting resend is refused, so that the refusal arrives in time. */
const replyMarginMs = 20;
/** Minimum time for which the commit of an outcome is retried while the caller waits. */
const minFinishRetryMs = 500;
/** Maximum time for which a command is retried in the background, when no caller waits for it. */
const maxBackgroundRetryMs = 600_000;

/** The ledger of a host: commits intents before dispatch and outcomes before answers. */
export class LedgerTask implements LedgerHooks {
  private readonly open = new Map<string, OpenIntent>();

  private readonly backgroundTasks = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  private intents = 0;

  private lastWallMs = 0;

  private readonly submitter: GroupSubmitter;

  constructor(private readonly parts: LedgerTaskParts) {
    this.submitter = new GroupSubmitter(parts.context.clock);
  }

  readonly begin = async (
    key: LedgerKey,
    groups: readonly string[],
    deadlineAtMs: number,
  ): Promise<LedgerDecision> => {
    const groupId = selectLedgerGroup(key, groups);
    const group = groupId === undefined ? undefined : this.parts.findGroup(groupId);
    if (group === undefined)
      return refuseNotLookedUp(`ledger group "${groupId}" is not known to this host`);
    const startedAtMs = this.nowMs();
    const { service, kind } = key;
    const intent = { intentId: this.nextIntentId(), group, service, kind, deadlineAtMs };
    const decision = await this.tryBegin(key, intent);
    const labels = { service, decision: decision.decision };
    this.parts.context.metrics.observeMs('ledger_begin', this.nowMs() - startedAtMs, labels);
    if (decision.decision === 'run') this.open.set(intent.intentId, intent);
    this.recordBegin(intent, decision);
    return decision;
  };

  readonly find = async (
    key: LedgerKey,
    groups: readonly string[],
  ): Promise<LedgerDecision | 'free' | 'running' | 'notKnown'> => {
    const groupId = selectLedgerGroup(key, groups);
    const group = groupId === undefined ? undefined : this.parts.findGroup(groupId);
    if (group === undefined) return 'notKnown';
    const found = await group.read({ type: 'find', key }, this.rpcTimeoutMs());
    if (found.isErr()) return 'notKnown';
    if (found.value.reply === 'free') return 'free';
    return toLedgerDecision(found.value, '', group.groupId) ?? 'running';
  };

  readonly finish = (intentId: string, outcome: LedgerOutcome): ResultAsync<void, Failure> =>
    new ResultAsync(this.tryFinish(intentId, outcome));

  /** Number of begun intents whose outcome has not been submitted yet. */
  openIntents(): number {
    return this.open.size;
  }

  /** Declares the intents of earlier incarnations of this host unknown; retried in the background. */
  declareFormerIntentsLost(group: LedgerGroup): void {
    const { settings, incarnation } = this.parts.context;
    const { hostId } = settings;
    const command: LedgerCommand = { type: 'loseHolder', hostId, maxIncarnation: incarnation - 1 };
    this.submitInBackground(group, command, (reply) => {
      if (reply.reply === 'lost' && reply.intents > 0) {
        this.recordUnknown(group, { holder: hostId, intents: reply.intents });
      }
    });
  }

  /** Advances the clock of a ledger group that this host leads, on which its records expire. */
  async retire(group: LedgerGroup): Promise<void> {
    const command: LedgerCommand = { type: 'retire', nowMs: this.wallMs() };
    await this.submitter.submit(group, command, this.rpcTimeoutMs());
  }

  /** Resolves when no background command is left. */
  async drain(): Promise<void> {
    while (this.backgroundTasks.size > 0) await Promise.all(this.backgroundTasks);
  }

  /** Stops further tries of commands. */
  stop(): void {
    this.stopping.abort();
  }

  private async tryBegin(key: LedgerKey, intent: OpenIntent): Promise<LedgerDecision> {
    const { group, intentId, deadlineAtMs } = intent;
    const giveUpAtMs = this.nowMs() + (deadlineAtMs - this.nowMs()) * beginFraction;
    let mayBeRecorded = false;
    let isWaiting = false;
    for (let backoffMs = initialBackoffMs; ; backoffMs = Math.min(maxBackoffMs, backoffMs * 2)) {
      const lastTryAtMs = isWaiting ? deadlineAtMs - replyMarginMs : giveUpAtMs;
      const leftMs = lastTryAtMs - this.nowMs();
      if (leftMs <= 0) break;
      const isReachable =
        mayBeRecorded ||
        (await this.submitter.isReachable(group, Math.min(leftMs, this.rpcTimeoutMs())));
      if (!isReachable) break;
      const command = this.beginCommand(key, intent);
      const reply = await this.submitter.submit(
        group,
        command,
        Math.min(leftMs, this.rpcTimeoutMs()),
      );
      if (reply.isOk()) {
        const decision = toLedgerDecision(reply.value, intentId, group.groupId);
        if (decision !== undefined) {
          if (mayBeRecorded && decision.decision !== 'run') this.cancelInBackground(intent);
          return decision;
        }
        isWaiting = true;
        await this.loseHolder(group, reply.value);
      } else {
        mayBeRecorded ||= mayBeCommitted(reply.error);
      }
      await this.parts.sleep(Math.min(backoffMs, Math.max(1, leftMs)), this.stopping.signal);
      if (this.stopping.signal.aborted) break;
    }
    // Only this host dispatches the intent and no longer will, whether or not the intent is recorded.
    if (mayBeRecorded) this.cancelInBackground(intent);
    return isWaiting
      ? refuseStillRunning()
      : refuseNotLookedUp('no quorum of the ledger answered in time');
  }

  /** Reports the holder of a running intent to the ledger as lost, if the membership shows that it is gone. */
  private async loseHolder(group: LedgerGroup, reply: LedgerReply): Promise<void> {
    if (reply.reply !== 'running' || !this.isHolderGone(reply.holder)) return;
    const { hostId, incarnation } = reply.holder;
    const command: LedgerCommand = { type: 'loseHolder', hostId, maxIncarnation: incarnation };
    const lost = await this.submitter.submit(group, command, this.rpcTimeoutMs());
    if (lost.isOk() && lost.value.reply === 'lost' && lost.value.intents > 0) {
      this.recordUnknown(group, { holder: hostId, intents: lost.value.intents });
    }
  }

  private isHolderGone(holder: IntentHolder): boolean {
    const record = this.parts.membership().find(holder.hostId);
    if (record === undefined) return false;
    if (record.incarnation > holder.incarnation) return true;
    return record.state === 'failed' || record.state === 'left';
  }

  /** Frees the identity of an intent that may be recorded but will never be dispatched. */
  private cancelInBackground({ intentId, group }: OpenIntent): void {
    const command: LedgerCommand = { type: 'cancel', intentId, beganAtMs: this.wallMs() };
    this.submitInBackground(group, command, () => undefined);
  }

  private async tryFinish(
    intentId: string,
    outcome: LedgerOutcome,
  ): Promise<Result<void, Failure>> {
    const intent = this.open.get(intentId);
    if (intent === undefined) return err(failure('BL9002', `intent "${intentId}" is not open`));
    this.open.delete(intentId);
    const startedAtMs = this.nowMs();
    const command: LedgerCommand = { type: 'finish', intentId, outcome, atMs: this.wallMs() };
    const retryUntilMs = Math.max(intent.deadlineAtMs, startedAtMs + minFinishRetryMs);
    const reply = await this.submitUntil(intent.group, command, retryUntilMs);
    const labels = { service: intent.service, outcome: outcome.outcome };
    this.parts.context.metrics.observeMs('ledger_finish', this.nowMs() - startedAtMs, labels);
    if (reply.isErr()) {
      const record = () => this.recordOutcome(intent, outcome);
      this.submitInBackground(intent.group, command, record);
      return err(failure('BL9002', `the outcome is not recorded yet: ${reply.error.detail}`));
    }
    if (reply.value.reply !== 'recorded') {
      return err(failure('BL9002', 'the ledger has recorded another outcome'));
    }
    this.recordOutcome(intent, outcome);
    return ok(undefined);
  }

  private async submitUntil(
    group: LedgerGroup,
    command: LedgerCommand,
    retryUntilMs: number,
  ): Promise<Result<LedgerReply, Failure>> {
    for (let backoffMs = initialBackoffMs; ; backoffMs = Math.min(maxBackoffMs, backoffMs * 2)) {
      const leftMs = Math.max(1, retryUntilMs - this.nowMs());
      const reply = await this.submitter.submit(
        group,
        command,
        Math.min(leftMs, this.rpcTimeoutMs()),
      );
      if (reply.isOk()) return reply;
      if (this.nowMs() + backoffMs >= retryUntilMs || this.stopping.signal.aborted) return reply;
      await this.parts.sleep(backoffMs, this.stopping.signal);
    }
  }

  private submitInBackground(
    group: LedgerGroup,
    command: LedgerCommand,
    onReply: (reply: LedgerReply) => void,
  ): void {
    const retryUntilMs = this.nowMs() + maxBackgroundRetryMs;
    const task = this.submitUntil(group, command, retryUntilMs).then((reply) => {
      this.backgroundTasks.delete(task);
      if (reply.isOk()) onReply(reply.value);
      else this.parts.context.log.warn('ledgerCommandGivenUp', { command: command.type });
    });
    this.backgroundTasks.add(task);
  }

  private beginCommand(key: LedgerKey, intent: OpenIntent): BeginCommand {
    const { settings, incarnation } = this.parts.context;
    const atMs = this.wallMs();
    return {
      type: 'begin',
      key,
      intentId: intent.intentId,
      holder: { hostId: settings.hostId, incarnation },
      atMs,
      deadlineAtMs: atMs + intent.deadlineAtMs - this.nowMs(),
    };
  }

  private nextIntentId(): string {
    const { settings, incarnation } = this.parts.context;
    this.intents += 1;
    return `${settings.hostId}.${incarnation}.${this.intents}`;
  }

  private nowMs(): number {
    return this.parts.context.clock.nowMs();
  }

  /** Wall time that never goes backwards, so that the end of an intent is never older than its begin. */
  private wallMs(): number {
    this.lastWallMs = Math.max(this.lastWallMs, this.parts.context.clock.wallMs());
    return this.lastWallMs;
  }

  private rpcTimeoutMs(): number {
    return this.parts.context.settings.timing.rpcTimeoutMs;
  }

  private recordBegin(intent: OpenIntent, decision: LedgerDecision): void {
    const { intentId, group, service, kind } = intent;
    const detail = { group: group.groupId, intentId, workKind: kind };
    const { record } = this.parts.context;
    if (decision.decision === 'run') record({ kind: 'ledgerIntent', service, detail });
    if (decision.decision !== 'refused' || decision.failure.code !== 'BL9002') return;
    record({ kind: 'ledgerUnknown', service, code: 'BL9002', detail });
  }

  private recordOutcome(intent: OpenIntent, outcome: LedgerOutcome): void {
    const { intentId, group, service, kind } = intent;
    const detail = { group: group.groupId, intentId, workKind: kind, outcome: outcome.outcome };
    const isUnknown = outcome.outcome === 'unknown';
    const { record } = this.parts.context;
    if (isUnknown) record({ kind: 'ledgerUnknown', service, code: 'BL9002', detail });
    else record({ kind: 'ledgerOutcome', service, detail });
  }

  private recordUnknown(group: LedgerGroup, detail: { holder: string; intents: number }): void {
    const { groupId } = group;
    this.parts.context.record({
      kind: 'ledgerUnknown',
      code: 'BL9002',
      detail: { group: groupId, ...detail },
    });
  }
}
