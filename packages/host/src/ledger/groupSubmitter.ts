import type { LedgerCommand, LedgerReply } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import type { Clock } from '../runtime/hostTypes.js';
import type { LedgerGroup } from './ledgerTaskTypes.js';

/** Time after a failed probe in which calls are refused without a further probe. */
const probeBackoffMs = 500;

/**
 * Whether a command that failed with this problem may have been committed. BL5001 and BL5005 are
 * returned only if no host has proposed the command.
 */
export function mayBeCommitted(problem: Failure): boolean {
  return problem.code !== 'BL5001' && problem.code !== 'BL5005';
}

/** Whether one group answers commands of this host. */
interface GroupStatus {
  /** Whether the last command may have been committed but got no reply. */
  needsProbe: boolean;
  probe: Promise<boolean> | undefined;
  probeBackoffUntilMs: number;
}

/**
 * Submits commands and tracks the groups that do not answer. An intent is sent to such a group only
 * after a probe, a command without effect, was answered. A host that is cut off from the group can
 * therefore refuse calls as not run.
 */
export class GroupSubmitter {
  private readonly statuses = new Map<string, GroupStatus>();

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** Submits a command and records whether the group answered. */
  submit(
    group: LedgerGroup,
    command: LedgerCommand,
    timeoutMs: number,
  ): ResultAsync<LedgerReply, Failure> {
    const status = this.getOrCreateStatus(group.groupId);
    return group
      .submit(command, timeoutMs)
      .map((reply) => {
        status.needsProbe = false;
        return reply;
      })
      .mapErr((problem) => {
        status.needsProbe ||= mayBeCommitted(problem);
        return problem;
      });
  }

  /** Whether commands can be sent to a group; probes it if its last command got no reply. */
  async isReachable(group: LedgerGroup, timeoutMs: number): Promise<boolean> {
    const status = this.getOrCreateStatus(group.groupId);
    if (!status.needsProbe) return true;
    if (this.clock.nowMs() < status.probeBackoffUntilMs) return false;
    status.probe ??= this.sendProbe(group, status, timeoutMs);
    return status.probe;
  }

  private async sendProbe(
    group: LedgerGroup,
    status: GroupStatus,
    timeoutMs: number,
  ): Promise<boolean> {
    const current = status;
    const probeCommand: LedgerCommand = { type: 'retire', nowMs: 0 };
    const reply = await this.submit(group, probeCommand, timeoutMs);
    current.probe = undefined;
    if (reply.isErr()) current.probeBackoffUntilMs = this.clock.nowMs() + probeBackoffMs;
    return reply.isOk();
  }

  private getOrCreateStatus(groupId: string): GroupStatus {
    const known = this.statuses.get(groupId);
    if (known !== undefined) return known;
    const created = { needsProbe: false, probe: undefined, probeBackoffUntilMs: 0 };
    this.statuses.set(groupId, created);
    return created;
  }
}
