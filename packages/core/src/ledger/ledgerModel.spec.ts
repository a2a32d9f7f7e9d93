import type { LedgerCommand, LedgerReply } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import test from 'ava';
import fc from 'fast-check';

import { defaultLedgerLimits } from './ledgerLimits.js';
import { createLedgerMachine } from './ledgerMachine.js';

/** One intent of a modelled host, as the host sees it. */
interface Attempt {
  readonly host: number;
  readonly incarnation: number;
  readonly identity: string;
  readonly intentId: string;
  readonly beganAtMs: number;
  phase: 'beginSent' | 'mayRun' | 'dispatched' | 'ran' | 'finishing' | 'closed';
}

interface Step {
  /** Random number that selects the action. */
  readonly action: number;
  /** Random number that selects what the action applies to. */
  readonly pick: number;
}

const actions = [
  'call',
  'deliver',
  'deliver',
  'duplicate',
  'lose',
  'deliver',
  'deliver',
  'dispatch',
  'dispatch',
  'run',
  'run',
  'finish',
  'finish',
  'giveUp',
  'crash',
  'advance',
  'retire',
  'restore',
] as const;
const identities = ['a', 'b'];
const hostCount = 3;
const limits = { ...defaultLedgerLimits, maxBeginAgeMs: 300, outcomeGraceMs: 0 };

/**
 * Hosts that follow the protocol of the ledger, over a network that delays, duplicates and loses
 * commands and replies.
 */
class LedgerModel {
  readonly executions = new Map<string, number>();

  readonly faults: string[] = [];

  unknown = 0;

  ownIntentCancellations = 0;

  private machine = createLedgerMachine(limits);

  private readonly incarnations = Array.from({ length: hostCount }, () => 1);

  private readonly attempts: Attempt[] = [];

  private readonly network: { command: LedgerCommand; attempt?: Attempt }[] = [];

  private readonly accepted = new Map<string, string>();

  private readonly ranIntents = new Set<string>();

  private readonly cancelledIntents = new Set<string>();

  private nowMs = 1000;

  private logIndex = 0;

  runStep({ action, pick }: Step): void {
    this.nowMs += 1;
    const name = actions[action % actions.length];
    if (name === 'call') this.startAttempt(pick);
    if (name === 'deliver') this.deliver(pick, true);
    if (name === 'duplicate') this.deliver(pick, false);
    if (name === 'lose') this.network.splice(pick % (this.network.length + 1), 1);
    if (name === 'dispatch') this.advancePhase(pick, 'mayRun', 'dispatched');
    if (name === 'run') this.run(pick);
    if (name === 'finish') this.finish(pick);
    if (name === 'giveUp') this.giveUp(pick);
    if (name === 'crash') this.crash(pick);
    if (name === 'advance') this.nowMs += pick % 200;
    if (name === 'retire') this.apply({ type: 'retire', nowMs: this.nowMs });
    if (name === 'restore') this.restore();
  }

  /** Delivers all commands, then resends each identity: accepted outcomes must be replayed. */
  deliverAllAndResend(): void {
    while (this.network.length > 0) this.deliver(0, true);
    for (const identity of identities) {
      const attempt = this.startAttempt(hostCount - 1, identity);
      this.deliver(this.network.length - 1, true);
      const accepted = this.accepted.get(identity);
      const last = this.lastReply.get(attempt.intentId);
      if (accepted !== undefined && last?.reply !== 'replay') {
        this.faults.push(
          `the accepted outcome of ${identity} is lost; a resend got: ${last?.reply}`,
        );
      }
      if (last?.reply === 'unknown') this.unknown += 1;
    }
  }

  private readonly lastReply = new Map<string, LedgerReply>();

  private startAttempt(
    pick: number,
    identity = identities[pick % identities.length] ?? '',
  ): Attempt {
    const host = pick % hostCount;
    const incarnation = this.incarnations[host] ?? 1;
    const intentId = `${host}-${incarnation}-${this.attempts.length}`;
    const attempt: Attempt = {
      host,
      incarnation,
      identity,
      intentId,
      beganAtMs: this.nowMs,
      phase: 'beginSent',
    };
    this.attempts.push(attempt);
    const key = { service: 's', kind: 'k', identity, requestDigest: identity };
    const holder = { hostId: `h${host}`, incarnation };
    const deadlineAtMs = this.nowMs + 100;
    const command = { type: 'begin', key, intentId, holder, atMs: this.nowMs, deadlineAtMs };
    this.network.push({ command: command as LedgerCommand, attempt });
    return attempt;
  }

  private apply(command: LedgerCommand): LedgerReply {
    this.logIndex += 1;
    return this.machine.apply(command, this.logIndex);
  }

  private deliver(pick: number, isConsumed: boolean): void {
    const index = pick % Math.max(1, this.network.length);
    const sent = this.network[index];
    if (sent === undefined) return;
    if (isConsumed) this.network.splice(index, 1);
    const reply = this.apply(sent.command);
    const { attempt } = sent;
    this.checkCancelled(sent.command, reply);
    const replyArrives = isConsumed && pick % 5 !== 4;
    if (attempt === undefined || !replyArrives || !this.isAlive(attempt)) return;
    if (sent.command.type === 'begin') this.onBeginReply(attempt, reply);
    else this.onEndReply(attempt, sent.command, reply);
  }

  /** Checks that no intent is granted after its cancellation was committed. */
  private checkCancelled(command: LedgerCommand, reply: LedgerReply): void {
    if (command.type === 'cancel' && reply.reply === 'cancelled') {
      this.cancelledIntents.add(command.intentId);
    }
    if (command.type !== 'begin' || reply.reply !== 'run') return;
    if (this.cancelledIntents.has(command.intentId)) {
      this.faults.push(`${command.intentId} is granted after its cancellation`);
    }
  }

  private onBeginReply(attempt: Attempt, reply: LedgerReply): void {
    this.lastReply.set(attempt.intentId, reply);
    if (attempt.phase !== 'beginSent') return;
    const current = attempt;
    current.phase = reply.reply === 'run' ? 'mayRun' : 'closed';
    if (reply.reply === 'unknown' && reply.ofOwnIntent) this.cancelOwnUnknownIntent(attempt);
  }

  /**
   * Cancels an intent that became unknown before its host was granted it, which proves that it did
   * not run.
   */
  private cancelOwnUnknownIntent(attempt: Attempt): void {
    const { intentId, beganAtMs } = attempt;
    if (this.ranIntents.has(intentId)) this.faults.push(`${intentId} ran, but its host cancels it`);
    this.network.push({ command: { type: 'cancel', intentId, beganAtMs }, attempt });
    this.ownIntentCancellations += 1;
  }

  private onEndReply(attempt: Attempt, command: LedgerCommand, reply: LedgerReply): void {
    if (reply.reply === 'cancelled' && this.ranIntents.has(attempt.intentId)) {
      this.faults.push(`${attempt.intentId} ran, but its cancellation was accepted`);
    }
    if (command.type !== 'finish' || reply.reply !== 'recorded') return;
    if (command.outcome.outcome !== 'answered') return;
    this.accepted.set(attempt.identity, attempt.intentId);
  }

  private isAlive(attempt: Attempt): boolean {
    return this.incarnations[attempt.host] === attempt.incarnation;
  }

  /** Moves one attempt that is in phase `from` to phase `to`. */
  private advancePhase(
    pick: number,
    from: Attempt['phase'],
    to: Attempt['phase'],
  ): Attempt | undefined {
    const candidates = this.attempts.filter(
      (each) => each.phase === from && (from === 'dispatched' || this.isAlive(each)),
    );
    const attempt = candidates[pick % Math.max(1, candidates.length)];
    if (attempt !== undefined) attempt.phase = to;
    return attempt;
  }

  /** The backend server runs a dispatched call even if its host has crashed since. */
  private run(pick: number): void {
    const attempt = this.advancePhase(pick, 'dispatched', 'ran');
    if (attempt === undefined) return;
    this.ranIntents.add(attempt.intentId);
    this.executions.set(attempt.identity, (this.executions.get(attempt.identity) ?? 0) + 1);
  }

  private finish(pick: number): void {
    const attempt = this.advancePhase(pick, 'ran', 'ran');
    if (attempt === undefined) return;
    const { intentId } = attempt;
    const answer = { status: 200, headers: [], bodyBase64: intentId };
    const outcome = { outcome: 'answered', answer } as const;
    const command = { type: 'finish', intentId, outcome, atMs: this.nowMs } as const;
    this.network.push({ command, attempt });
  }

  /**
   * A host gives up an intent before dispatch: it got no reply to its begin command, or the call
   * could not be placed.
   */
  private giveUp(pick: number): void {
    const from = pick % 2 === 0 ? 'beginSent' : 'mayRun';
    const attempt = this.advancePhase(pick, from, 'finishing');
    if (attempt === undefined) return;
    const { intentId, beganAtMs } = attempt;
    const cancel = { type: 'cancel', intentId, beganAtMs } as const;
    const outcome = { outcome: 'notRun' } as const;
    const notRun = { type: 'finish', intentId, outcome, atMs: this.nowMs } as const;
    this.network.push({ command: from === 'beginSent' ? cancel : notRun, attempt });
  }

  private crash(pick: number): void {
    const host = pick % hostCount;
    const incarnation = (this.incarnations[host] ?? 1) + 1;
    this.incarnations[host] = incarnation;
    const hostId = `h${host}`;
    if (pick % 2 === 0) {
      this.network.push({
        command: { type: 'loseHolder', hostId, maxIncarnation: incarnation - 1 },
      });
    }
  }

  private restore(): void {
    const snapshot = structuredClone(this.machine.snapshot());
    this.machine = createLedgerMachine(limits);
    this.machine.restore(snapshot);
  }
}

const stepArbitrary = fc.record({ action: fc.nat(), pick: fc.nat({ max: 1000 }) });
const seed = 20261204;

test('no identity runs twice and no accepted outcome is lost under loss, duplication, delay and crashes', (t) => {
  let runs = 0;
  let unknown = 0;
  let ownIntentCancellations = 0;
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 40, maxLength: 160 }), (steps) => {
      const model = new LedgerModel();
      for (const step of steps) model.runStep(step);
      model.deliverAllAndResend();
      runs += [...model.executions.values()].reduce((sum, each) => sum + each, 0);
      unknown += model.unknown;
      ownIntentCancellations += model.ownIntentCancellations;
      const doubled = [...model.executions.values()].filter((count) => count > 1);
      return doubled.length === 0 && model.faults.length === 0;
    }),
    { seed, numRuns: 10_000 },
  );
  t.log({ seed, runs, unknown, ownIntentCancellations });
  t.true(runs > 1000);
  t.true(
    ownIntentCancellations > 0,
    'some intent became unknown before its begin command was applied again',
  );
});
