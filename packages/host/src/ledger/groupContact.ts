import type { LedgerCommand, LedgerReply } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import type { Clock } from '../runtime/hostTypes.js';
import type { LedgerGroup } from './ledgerTaskTypes.js';

/** Time after a failed probe in which calls are refused without another. */
const probePauseMs = 500;

/**
 * Whether a command that failed in that way may have been committed. BL5001 and BL5005 are given
 * only where no host has proposed it.
 */
export function mayBeCommitted(problem: Failure): boolean {
  return problem.code !== 'BL5001' && problem.code !== 'BL5005';
}

/** What is known of the way to one group. */
interface Contact {
  /** Whether the last command ended without a reply. */
  isInDoubt: boolean;
  probe: Promise<boolean> | undefined;
  refusedUntilMs: number;
}

/**
 * Submits commands and remembers the groups that do not answer. An intent is not sent to such a
 * group before a command without effect has come through, so that a host that is cut off can refuse
 * calls as not run.
 */
export class GroupContact {
  private readonly contacts = new Map<string, Contact>();

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** Submits a command and notes whether the group answered. */
  submit(
    group: LedgerGroup,
    command: LedgerCommand,
    timeoutMs: number,
  ): ResultAsync<LedgerReply, Failure> {
    const contact = this.contactOf(group.groupId);
    return group
      .submit(command, timeoutMs)
      .map((reply) => {
        contact.isInDoubt = false;
        return reply;
      })
      .mapErr((problem) => {
        contact.isInDoubt ||= mayBeCommitted(problem);
        return problem;
      });
  }

  /** Tells whether a group that was in doubt answers again. */
  async isReachable(group: LedgerGroup, timeoutMs: number): Promise<boolean> {
    const contact = this.contactOf(group.groupId);
    if (!contact.isInDoubt) return true;
    if (this.clock.nowMs() < contact.refusedUntilMs) return false;
    contact.probe ??= this.sendProbe(group, contact, timeoutMs);
    return contact.probe;
  }

  private async sendProbe(
    group: LedgerGroup,
    contact: Contact,
    timeoutMs: number,
  ): Promise<boolean> {
    const current = contact;
    const withoutEffect: LedgerCommand = { type: 'retire', nowMs: 0 };
    const reply = await this.submit(group, withoutEffect, timeoutMs);
    current.probe = undefined;
    if (reply.isErr()) current.refusedUntilMs = this.clock.nowMs() + probePauseMs;
    return reply.isOk();
  }

  private contactOf(groupId: string): Contact {
    const known = this.contacts.get(groupId);
    if (known !== undefined) return known;
    const created = { isInDoubt: false, probe: undefined, refusedUntilMs: 0 };
    this.contacts.set(groupId, created);
    return created;
  }
}
