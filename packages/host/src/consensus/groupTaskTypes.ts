import type {
  ConsensusMessage,
  MembershipChange,
} from '@buckthornlug/core/consensus/consensusTypes.js';
import type { ChangePlan, RequestedChange } from '@buckthornlug/core/consensus/replicaChanges.js';
import type { ReplicatedMachine } from '@buckthornlug/core/consensus/replicatedMachineTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result, ResultAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { GroupDescription } from './consensusSchema.js';
import type { SendBatch, SendHeartbeats } from './messageOutbox.js';
import type { GroupStorage } from './storageTypes.js';

/** What the task of one replica is given. */
export interface GroupTaskParts<Command, Reply> {
  readonly context: HostContext;
  readonly groupId: string;
  readonly machine: ReplicatedMachine<Command, Reply>;
  readonly storage: GroupStorage;
  readonly sendBatch: SendBatch;
  readonly sendHeartbeats: SendHeartbeats;
}

/** Outcome of a proposal. */
export type ProposalResult<Reply> = ResultAsync<Reply, Failure>;

/** The task of one replica: owns its state, storage and timers. */
export interface GroupTask<Command, Reply> {
  readonly replicaId: string;
  /** Takes messages of one host; resolves with the answers once what they wrote is synced. */
  readonly exchange: (
    hostId: string,
    messages: readonly ConsensusMessage[],
  ) => Promise<readonly ConsensusMessage[]>;
  readonly deliver: (messages: readonly ConsensusMessage[]) => void;
  /** Proposes on this replica; BL5001 where it does not lead. */
  readonly propose: (command: Command, timeoutMs: number) => ProposalResult<Reply>;
  /** Answers a command that changes nothing; BL5001 where this replica holds no lease. */
  readonly read: (command: Command) => Result<Reply, Failure>;
  readonly readBarrier: (timeoutMs: number) => ResultAsync<void, Failure>;
  readonly onApplied: (listener: (logIndex: number) => void) => () => void;
  readonly isLeader: () => boolean;
  readonly leaderId: () => string | undefined;
  /** Time since the replica last knew a leader that a quorum follows, in milliseconds. */
  readonly leaderSilentMs: () => number;
  /** Whether the replica waits to be added to the group. */
  readonly isWaitingToJoin: () => boolean;
  readonly addReplica: (replicaId: string) => void;
  /** Starts a change that was planned. */
  readonly changeMembers: (change: MembershipChange) => void;
  /** What to do about a change that an operator asks for. */
  readonly planChange: (requested: RequestedChange) => ChangePlan;
  readonly describe: () => GroupDescription;
  /** Hands the lead over; resolves when another replica leads or the time is up. */
  readonly handOver: () => Promise<void>;
  readonly stop: () => Promise<void>;
}
