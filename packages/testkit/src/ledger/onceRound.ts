import { createDraws, type Draws } from '../random/draws.js';
import type { LedgerNetworkFaults } from './fakeLedgerGroup.js';
import { OnceBackend, type OnceBackendFaults } from './onceBackend.js';
import { OnceCaller } from './onceCaller.js';
import { OnceFleet } from './onceFleet.js';
import type { OnceReply } from './onceHost.js';
import { VirtualTime } from '../time/virtualTime.js';

/** What one seeded round of faults showed. */
export interface OnceRoundResult {
  readonly seed: number;
  readonly orders: number;
  readonly executions: number;
  /** Orders that ran more than once. */
  readonly doubleRuns: number;
  /** Orders that ran although every reply to the device said "not run". */
  readonly falseNotRun: number;
  /** Orders whose answer a device got and a later resend did not. */
  readonly acceptedLost: number;
  /** Orders whose outcome is not known at the end. */
  readonly endedUnknown: number;
  /** Of these, orders that never ran. */
  readonly unknownNeverRun: number;
  readonly kills: number;
  readonly pauses: number;
}

const hostIds = ['host-a', 'host-b', 'host-c', 'host-d'];
const groupIds = ['ledger-north', 'ledger-south'];
const orders = 12;
const timeLimitMs = 3000;
const faultsEndMs = 30_000;
const settledMs = 60_000;
const network: LedgerNetworkFaults = { lost: 0.04, replyLost: 0.06, doubled: 0.05, late: 0.04 };
const backendFaults: OnceBackendFaults = { refuses: 0.05, answerLost: 0.05, late: 0.03 };
const killAtMoment = 0.05;
const pauseAtMoment = 0.04;

function isAcceptedLost(caller: OnceCaller, last: ReadonlyMap<string, OnceReply>): boolean {
  const first = caller.answers[0];
  const end = last.get(caller.identity);
  if (first === undefined) return false;
  if (end?.reply !== 'answer') return true;
  const { bodyBase64 } = end.answer;
  return caller.answers.some((answer) => answer.bodyBase64 !== bodyBase64);
}

/** One round: devices, hosts, ledgers and seeded faults, then a last resend of each order. */
class OnceRound {
  private readonly time = new VirtualTime();

  private readonly random: Draws;

  private readonly backend: OnceBackend;

  private readonly fleet: OnceFleet;

  private readonly callers: OnceCaller[] = [];

  private groups = groupIds;

  private faultsOn = true;

  private kills = 0;

  private pauses = 0;

  constructor(private readonly seed: number) {
    this.random = createDraws(seed);
    this.backend = new OnceBackend(this.time, this.random, backendFaults, timeLimitMs);
    this.fleet = new OnceFleet({
      time: this.time,
      random: this.random,
      backend: this.backend,
      hostIds,
      groupIds,
      onMoment: (_moment, hostId) => this.interfere(hostId),
    });
    for (const group of this.fleet.groups) group.faults = network;
  }

  async run(): Promise<OnceRoundResult> {
    this.startCallers();
    this.scheduleFaults();
    await this.time.runUntil(faultsEndMs);
    const toldOnlyNotRun = this.callers.filter((caller) => caller.wasToldOnlyNotRun);
    const falseNotRun = toldOnlyNotRun.filter(
      (caller) => this.backend.countOf(caller.identity) > 0,
    ).length;
    this.heal();
    await this.time.runUntil(settledMs);
    const last = await this.resendAll();
    return this.judge(last, falseNotRun);
  }

  private startCallers(): void {
    for (let order = 0; order < orders; order += 1) {
      const caller = new OnceCaller(
        {
          time: this.time,
          random: this.random,
          fleet: this.fleet,
          hostIds,
          groups: () => this.groups,
          timeLimitMs,
        },
        `order-${order}`,
      );
      this.callers.push(caller);
      this.time.schedule(this.random.between(0, faultsEndMs / 2), () => caller.send());
    }
  }

  private scheduleFaults(): void {
    for (let atMs = 500; atMs < faultsEndMs - 6000; atMs += this.random.between(200, 1500)) {
      this.time.schedule(atMs, () => this.bringAbout(this.random.below(6)));
    }
  }

  private bringAbout(fault: number): void {
    const hostId = hostIds[this.random.below(hostIds.length)] ?? '';
    const group = this.fleet.groups[this.random.below(groupIds.length)];
    if (group === undefined) return;
    if (fault === 0) this.kill(hostId);
    if (fault === 1) this.pause(hostId);
    if (fault === 2) {
      group.cutOff.add(hostId);
      this.time.schedule(this.random.between(500, 5000), () => group.cutOff.delete(hostId));
    }
    if (fault === 3) {
      group.isLeaderless = true;
      this.time.schedule(this.random.between(500, 2500), () => {
        group.isLeaderless = false;
      });
    }
    if (fault === 4) group.moveToRepairedReplica();
    if (fault === 5) this.groups = [...this.groups].reverse();
  }

  private interfere(hostId: string): void {
    if (!this.faultsOn) return;
    if (this.random.chance(killAtMoment)) this.kill(hostId);
    else if (this.random.chance(pauseAtMoment)) this.pause(hostId);
  }

  private kill(hostId: string): void {
    this.kills += 1;
    this.fleet.kill(hostId);
    this.time.schedule(this.random.between(100, 4000), () => this.fleet.restart(hostId));
  }

  private pause(hostId: string): void {
    this.pauses += 1;
    this.fleet.pause(hostId);
    this.time.schedule(this.random.between(100, 6000), () => this.fleet.resume(hostId));
  }

  private heal(): void {
    this.faultsOn = false;
    for (const group of this.fleet.groups) {
      group.faults = { lost: 0, replyLost: 0, doubled: 0, late: 0 };
      group.cutOff.clear();
      group.isLeaderless = false;
    }
  }

  private async resendAll(): Promise<ReadonlyMap<string, OnceReply>> {
    const replies = new Map<string, OnceReply>();
    for (const caller of this.callers) {
      const resend = () =>
        caller.call(hostIds[0] ?? '', (reply) => {
          replies.set(caller.identity, reply);
          const isOver = reply.reply === 'answer' || reply.failure.code === 'BL9002';
          if (!isOver) resend();
        });
      resend();
    }
    await this.time.runUntil(settledMs * 2);
    return replies;
  }

  private judge(last: ReadonlyMap<string, OnceReply>, falseNotRun: number): OnceRoundResult {
    const isUnknown = (caller: OnceCaller) => last.get(caller.identity)?.reply !== 'answer';
    const countOf = (caller: OnceCaller) => this.backend.countOf(caller.identity);
    const unknown = this.callers.filter(isUnknown);
    return {
      seed: this.seed,
      orders,
      executions: this.callers.reduce((sum, caller) => sum + countOf(caller), 0),
      doubleRuns: this.callers.filter((caller) => countOf(caller) > 1).length,
      falseNotRun,
      acceptedLost: this.callers.filter((caller) => isAcceptedLost(caller, last)).length,
      endedUnknown: unknown.length,
      unknownNeverRun: unknown.filter((caller) => countOf(caller) === 0).length,
      kills: this.kills,
      pauses: this.pauses,
    };
  }
}

/**
 * Runs one round in virtual time with the real ledger machine and the real ledger task of the host.
 *
 * @param seed - fixes every choice of the round
 */
export function runOnceRound(seed: number): Promise<OnceRoundResult> {
  return new OnceRound(seed).run();
}
