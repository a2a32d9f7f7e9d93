import type {
  ConsensusMessage,
  MembershipChange,
  ReplacementOptions,
} from '@buckthornlug/core/consensus/consensusTypes.js';
import type { ChangePlan, RequestedChange } from '@buckthornlug/core/consensus/replicaChanges.js';
import type { ReplicatedMachine } from '@buckthornlug/core/consensus/replicatedMachineTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result, ResultAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { GroupDescription } from './consensusSchema.js';
import type { SendBatch, SendHeartbeats } from './messageOutbox.js';
import type { GroupStorage } from './storageTypes.js';

/** Dependencies of the task of one replica. */
export interface GroupTaskParts<Command, Reply> {
  readonly context: HostContext;
  readonly groupId: string;
  readonly machine: ReplicatedMachine<Command, Reply>;
  readonly storage: GroupStorage;
  /** When replicas of hosts that are gone are removed; never if absent. */
  readonly replacement?: ReplacementOptions | undefined;
  readonly sendBatch: SendBatch;
  readonly sendHeartbeats: SendHeartbeats;
}

/** Outcome of a proposal. */
export type ProposalResult<Reply> = ResultAsync<Reply, Failure>;

/** The task of one replica: owns its state, storage and timers. */
export interface GroupTask<Command, Reply> {
  readonly replicaId: string;
  /** Handles messages of one host; resolves with the replies once the changes are synced. */
  readonly exchange: (
    hostId: string,
    messages: readonly ConsensusMessage[],
  ) => Promise<readonly ConsensusMessage[]>;
  readonly deliver: (messages: readonly ConsensusMessage[]) => void;
  /**
   * Proposes a command on this replica; BL5001 if it does not lead.
   *
   * @param encoded - CBOR of the command, where it is known already
   */
  readonly propose: (
    command: Command,
    timeoutMs: number,
    encoded?: Uint8Array,
  ) => ProposalResult<Reply>;
  /** Evaluates a read-only command; BL5001 if this replica holds no lease. */
  readonly read: (command: Command) => Result<Reply, Failure>;
  readonly readBarrier: (timeoutMs: number) => ResultAsync<void, Failure>;
  readonly onApplied: (listener: (logIndex: number) => void) => () => void;
  readonly isLeader: () => boolean;
  readonly leaderId: () => string | undefined;
  /** Time since the moment before which the replica holds all that was committed, in milliseconds. */
  readonly stateAgeMs: () => number;
  /** Whether the replica has an empty log and waits to be added to the group. */
  readonly isWaitingToJoin: () => boolean;
  /**
   * Whether the replica may have been removed from the group while it was stopped or cut off: it is no
   * member according to its own log, or it knows no leader.
   */
  readonly mayBeRemoved: () => boolean;
  readonly addReplica: (replicaId: string) => void;
  /** Starts a planned change. */
  readonly changeMembers: (change: MembershipChange) => void;
  /** Plans the next action for a change that an operator requests. */
  readonly planChange: (requested: RequestedChange) => ChangePlan;
  readonly describe: () => GroupDescription;
  /** Transfers leadership; resolves when this replica no longer leads or on timeout. */
  readonly handOver: () => Promise<void>;
  readonly stop: () => Promise<void>;
}
