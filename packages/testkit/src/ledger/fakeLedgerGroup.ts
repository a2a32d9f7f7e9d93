import {
  createLedgerMachine,
  type LedgerMachine,
} from '@buckthornlug/core/ledger/ledgerMachine.js';
import type { LedgerGroup } from '@buckthornlug/host/ledger/ledgerTaskTypes.js';
import type { LedgerCommand, LedgerReply } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow';

import type { Draws } from '../random/draws.js';
import type { ProcessTime } from '../time/processTime.js';
import type { VirtualTime } from '../time/virtualTime.js';

/** How the network of a fake ledger group misbehaves, as probabilities. */
export interface LedgerNetworkFaults {
  /** The command never arrives. */
  readonly lost: number;
  /** The command is committed and its reply is lost. */
  readonly replyLost: number;
  /** The command is committed a second time, seconds later. */
  readonly doubled: number;
  /** The command is committed only after the host has given it up. */
  readonly late: number;
}

/** A network without faults. */
export const faultlessNetwork: LedgerNetworkFaults = {
  lost: 0,
  replyLost: 0,
  doubled: 0,
  late: 0,
};

type Settle = (result: Result<LedgerReply, Failure>) => void;

const commitMs = 4;
const lateMs = 3000;
const refusalMs = 2;

/** One replicated ledger over a network with faults, in virtual time. */
export class FakeLedgerGroup {
  faults: LedgerNetworkFaults = faultlessNetwork;

  /** Hosts that cannot reach the group. */
  readonly cutOff = new Set<string>();

  /** Whether the group is between two leaders. */
  isLeaderless = false;

  private machine: LedgerMachine = createLedgerMachine();

  private logIndex = 0;

  constructor(
    readonly groupId: string,
    private readonly time: VirtualTime,
    private readonly random: Draws,
  ) {}

  /** Commits a command at once. */
  commit(command: LedgerCommand): LedgerReply {
    this.logIndex += 1;
    return this.machine.apply(structuredClone(command), this.logIndex);
  }

  /** Has the network misbehave for a time. */
  misbehaveFor(durationMs: number, faults: LedgerNetworkFaults): void {
    this.faults = faults;
    this.time.schedule(durationMs, () => {
      this.faults = faultlessNetwork;
    });
  }

  /** Leaves the group without a leader for a time. */
  loseLeaderFor(durationMs: number): void {
    this.isLeaderless = true;
    this.time.schedule(durationMs, () => {
      this.isLeaderless = false;
    });
  }

  /** Cuts a host off from the group for a time. */
  cutOffFor(durationMs: number, hostId: string): void {
    this.cutOff.add(hostId);
    this.time.schedule(durationMs, () => this.cutOff.delete(hostId));
  }

  /** Goes on from a snapshot, as a new leader does that lost its disk and was repaired. */
  moveToRepairedReplica(): void {
    const snapshot: unknown = structuredClone(this.machine.snapshot());
    this.machine = createLedgerMachine();
    this.machine.restore(snapshot);
  }

  /** The group as one process sees it. */
  handleFor(hostId: string, processTime: ProcessTime): LedgerGroup {
    return {
      groupId: this.groupId,
      submit: (command, timeoutMs) =>
        new ResultAsync(
          new Promise<Result<LedgerReply, Failure>>((resolve) => {
            this.send(hostId, command, timeoutMs, processTime, resolve);
          }),
        ),
      read: () => errAsync(failure('BL5001', 'no read in this test')),
      isLeader: () => false,
      leaderId: () => undefined,
      stateAgeMs: () => 0,
      readBarrier: () => okAsync(undefined),
      onApplied: () => () => undefined,
    };
  }

  private send(
    hostId: string,
    command: LedgerCommand,
    timeoutMs: number,
    processTime: ProcessTime,
    settle: Settle,
  ): void {
    processTime.schedule(timeoutMs, () => settle(err(failure('BL5002', 'no reply in time'))));
    if (this.random.chance(this.faults.doubled)) {
      this.time.schedule(this.random.between(commitMs, lateMs), () => this.commit(command));
    }
    if (this.random.chance(this.faults.lost)) return;
    const isLate = this.random.chance(this.faults.late);
    const delayMs = isLate ? timeoutMs + this.random.between(1, lateMs) : commitMs;
    this.time.schedule(this.random.between(1, delayMs), () => {
      this.arrive(hostId, command, processTime, settle);
    });
  }

  private arrive(
    hostId: string,
    command: LedgerCommand,
    processTime: ProcessTime,
    settle: Settle,
  ): void {
    if (this.cutOff.has(hostId)) return;
    if (this.isLeaderless) {
      const refusal = failure('BL5001', 'no leader is known');
      processTime.schedule(refusalMs, () => settle(err(refusal)));
      return;
    }
    const reply = this.commit(command);
    if (this.random.chance(this.faults.replyLost)) return;
    processTime.schedule(this.random.between(1, commitMs), () => settle(ok(reply)));
  }
}
