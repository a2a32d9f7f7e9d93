import type { LedgerCommand, LedgerReply } from '@buckthornlug/protocol/ledger/ledgerSchema.js';

import type { GroupHandle } from '../consensus/groupTypes.js';
import type { HostContext, MembershipView } from '../runtime/hostTypes.js';

/** Handle of this host on a ledger group. */
export type LedgerGroup = GroupHandle<LedgerCommand, LedgerReply>;

/** Finds a ledger group by its name. */
export type FindLedgerGroup = (groupId: string) => LedgerGroup | undefined;

/** Waits for a time in milliseconds; ends early when the signal is aborted. */
export type Sleep = (durationMs: number, signal?: AbortSignal) => Promise<void>;

/** Dependencies of the ledger of a host. */
export interface LedgerTaskParts {
  readonly context: Pick<
    HostContext,
    'settings' | 'incarnation' | 'clock' | 'record' | 'metrics' | 'log'
  >;
  readonly findGroup: FindLedgerGroup;
  readonly membership: () => Pick<MembershipView, 'find'>;
  readonly sleep: Sleep;
}

/** An intent of this host, from its first begin command until its outcome is submitted. */
export interface OpenIntent {
  readonly intentId: string;
  readonly group: LedgerGroup;
  readonly service: string;
  readonly kind: string;
  readonly deadlineAtMs: number;
}
