import { executionStatusOfCode } from '@buckthornlug/protocol/results/failure.js';
import type { LedgerKey, StoredAnswer } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import type { Draws } from '../random/draws.js';
import type { OnceFleet } from './onceFleet.js';
import type { OnceReply } from './onceHost.js';
import type { VirtualTime } from '../time/virtualTime.js';

/** What a caller is given. */
export interface OnceCallerParts {
  readonly time: VirtualTime;
  readonly random: Draws;
  readonly fleet: OnceFleet;
  readonly hostIds: readonly string[];
  /** Ledger groups of the kind as the document in force names them. */
  readonly groups: () => readonly string[];
  readonly timeLimitMs: number;
}

const maxTries = 8;
const resendWithoutReplyMs = 4000;
const longestResendDelayMs = 600;
const impatience = 0.2;

/** A device with one order, which it sends again through any host until it is answered. */
export class OnceCaller {
  /** Whole answers that the device got. */
  readonly answers: StoredAnswer[] = [];

  /** Codes of the failures that the device got. */
  readonly codes: string[] = [];

  private sent = 0;

  private replied = 0;

  private isDone = false;

  constructor(
    private readonly parts: OnceCallerParts,
    readonly identity: string,
  ) {}

  /** Whether every call got a reply and every reply said "not run". */
  get wasToldOnlyNotRun(): boolean {
    if (this.sent !== this.replied || this.answers.length > 0) return false;
    return this.codes.every((code) => executionStatusOfCode(code as never) === 'notRun');
  }

  /** Sends the order and repeats it as a device does. */
  send(): void {
    if (this.isDone || this.sent >= maxTries) return;
    const { random, hostIds } = this.parts;
    const hostId = hostIds[random.below(hostIds.length)] ?? '';
    const tries = this.sent;
    this.call(hostId, (reply) => this.take(reply));
    this.parts.time.schedule(resendWithoutReplyMs, () => {
      if (this.replied <= tries && this.sent === tries + 1) this.send();
    });
    if (random.chance(impatience)) this.sendSoon();
  }

  /** Sends one call to a host. */
  call(hostId: string, take: (reply: OnceReply) => void): void {
    const { fleet, time, timeLimitMs } = this.parts;
    this.sent += 1;
    const key: LedgerKey = {
      service: 'restock-ledger',
      kind: 'bulk-order',
      identity: this.identity,
      requestDigest: `digest of ${this.identity}`,
    };
    const host = fleet.host(hostId);
    host.processTime.schedule(1, () => {
      const reply = host.call(key, this.parts.groups(), time.nowMs + timeLimitMs);
      reply.then(
        (each) => host.processTime.schedule(1, () => this.note(each, take)),
        (error: unknown) => {
          throw error;
        },
      );
    });
  }

  private note(reply: OnceReply, take: (reply: OnceReply) => void): void {
    this.replied += 1;
    if (reply.reply === 'answer') this.answers.push(reply.answer);
    else this.codes.push(reply.failure.code);
    take(reply);
  }

  private take(reply: OnceReply): void {
    if (reply.reply === 'answer') {
      this.isDone = this.parts.random.chance(0.8);
      if (!this.isDone) this.sendSoon();
      return;
    }
    const isUnknown = reply.failure.code === 'BL9002';
    if (isUnknown && this.parts.random.chance(0.5)) this.isDone = true;
    this.sendSoon();
  }

  private sendSoon(): void {
    const { time, random } = this.parts;
    time.schedule(random.between(1, longestResendDelayMs), () => this.send());
  }
}
