import type { ReplacementSettings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { MemberIdentity } from '../membership/membershipTypes.js';

/** Types of the replicated log: durable state, messages, inputs and effects. */

/** Identity of a replica, `<hostId>/<incarnation>`; the incarnation identifies its disk. */
export type ReplicaId = string;

/** Replicas of a group. Learners receive the log and do not count in a quorum. */
export interface Members {
  readonly voters: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
}

/** Content of a log entry. */
export type EntryBody =
  | { readonly kind: 'noop' }
  | { readonly kind: 'command'; readonly data: Uint8Array }
  | { readonly kind: 'members'; readonly members: Members };

/** One entry of the log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly body: EntryBody;
}

/** Current term and vote; synced before a message that depends on either is sent. */
export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/** Encoded state of the machine after it applied the entry at `index`. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly members: Members;
  readonly data: Uint8Array;
}

/** State that a replica loads from its disk at start. */
export interface DurableState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry[];
}

/** When replicas that do not answer leave a group without an operator. */
export interface ReplacementOptions extends ReplacementSettings {
  /** Place of a host; undefined if it is not known. */
  readonly placeOf: (
    hostId: string,
  ) => Pick<MemberIdentity, 'availabilityZone' | 'region'> | undefined;
}

/** Timing and sizes of a group. */
export interface ConsensusOptions {
  /** Shortest election timeout; a random part of up to 50% is added to it. */
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  readonly maxAppendBytes: number;
  readonly maxAppendEntries: number;
  /** Maximum number of entries sent to a follower and not yet acknowledged. */
  readonly maxInFlightEntries: number;
  readonly snapshotChunkBytes: number;
  /** Entries kept behind a snapshot, so that a slightly lagging follower needs no snapshot. */
  readonly retainedEntries: number;
  /** Largest size of these entries; a follower that lacks more gets the snapshot. */
  readonly retainedBytes: number;
  /** Maximum number of uncommitted entries; a leader refuses proposals beyond it. */
  readonly maxUncommittedEntries: number;
  /** Size of these entries from which on a leader refuses proposals. */
  readonly maxUncommittedBytes: number;
  /** Absent if replicas are removed by an operator or by a new disk of their host only. */
  readonly replacement?: ReplacementOptions;
}

interface MessageBase {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: number;
}

/** Asks whether the receiver would grant a vote; does not change the receiver's state. */
export interface PreVoteMessage extends MessageBase {
  readonly kind: 'preVote';
  readonly proposedTerm: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface PreVoteReply extends MessageBase {
  readonly kind: 'preVoteReply';
  readonly proposedTerm: number;
  readonly granted: boolean;
}

export interface VoteMessage extends MessageBase {
  readonly kind: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Whether the leader requested the election; its lease then does not block the vote. */
  readonly handOver: boolean;
}

export interface VoteReply extends MessageBase {
  readonly kind: 'voteReply';
  readonly granted: boolean;
}

/** Round and send time of a leader's message; the reply echoes both. */
export interface LeaderRound {
  readonly round: number;
  readonly sentAtMs: number;
}

/** A time on the monotonic clock of a replica's process. */
export interface ReplyStamp {
  /** Random number that identifies the process. */
  readonly clockId: number;
  readonly atMs: number;
}

export interface AppendMessage extends MessageBase, LeaderRound {
  readonly kind: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /**
   * Stamp of the receiver's newest reply; null if the leader cannot vouch for its commit index, absent
   * from a leader of an earlier version.
   */
  readonly echo?: ReplyStamp | null;
}

/** What the reply of a replica tells of its process; set when the reply is sent. */
interface ReplyOrigin {
  /** Absent from a replica of an earlier version. */
  readonly stamp?: ReplyStamp;
  /** Whether it reads compressed commands; absent from a replica of an earlier version. */
  readonly readsCompressed?: true;
}

export interface AppendReply extends MessageBase, LeaderRound, ReplyOrigin {
  readonly kind: 'appendReply';
  readonly success: boolean;
  /** Last synced index that matches the leader's log; on refusal, the `prevIndex` to try next. */
  readonly matchIndex: number;
  readonly prevIndex: number;
}

export interface SnapshotChunk extends MessageBase, LeaderRound {
  readonly kind: 'snapshotChunk';
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly members: Members;
  readonly totalBytes: number;
  readonly offset: number;
  readonly data: Uint8Array;
}

export interface SnapshotReply extends MessageBase, LeaderRound, ReplyOrigin {
  readonly kind: 'snapshotReply';
  readonly snapshotIndex: number;
  readonly nextOffset: number;
}

export interface ReadIndexMessage extends MessageBase {
  readonly kind: 'readIndex';
  readonly readId: number;
}

export interface ReadIndexReply extends MessageBase {
  readonly kind: 'readIndexReply';
  readonly readId: number;
  /** Index to apply before the read; null if the receiver is not the leader. */
  readonly index: number | null;
}

/** Asks a caught-up voter to start an election immediately. */
export interface TimeoutNowMessage extends MessageBase {
  readonly kind: 'timeoutNow';
}

/** A message between replicas of a group. */
export type ConsensusMessage =
  | PreVoteMessage
  | PreVoteReply
  | VoteMessage
  | VoteReply
  | AppendMessage
  | AppendReply
  | SnapshotChunk
  | SnapshotReply
  | ReadIndexMessage
  | ReadIndexReply
  | TimeoutNowMessage;

/** A command to replicate; `proposalId` is unique within the process. */
export interface Proposal {
  readonly proposalId: number;
  readonly data: Uint8Array;
}

/** A membership change; only one may be uncommitted at a time. */
export type MembershipChange =
  | { readonly change: 'add'; readonly replicaId: ReplicaId }
  | { readonly change: 'remove'; readonly replicaId: ReplicaId };

/** Inputs of the replica's state machine. */
export type ConsensusInput =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message'; readonly message: ConsensusMessage }
  | { readonly kind: 'propose'; readonly proposals: readonly Proposal[] }
  | { readonly kind: 'synced'; readonly sequence: number }
  | { readonly kind: 'read'; readonly readId: number }
  | { readonly kind: 'changeMembers'; readonly change: MembershipChange }
  | { readonly kind: 'compact'; readonly index: number; readonly data: Uint8Array }
  | { readonly kind: 'handOver' };

/** Time and randomness of a step. */
export interface StepContext {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** Random number in [0, 1). */
  readonly random: number;
}

export type ReplicaRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Why a proposal or a membership change was refused. */
export type RefusalReason = 'notLeader' | 'busy' | 'changePending' | 'unchanged';

/** Changes to write and sync, in the order of `sequence`. */
export interface PersistEffect {
  readonly kind: 'persist';
  readonly sequence: number;
  readonly hardState?: HardState;
  /** Entries from this index on are removed before `entries` are appended. */
  readonly truncateFrom?: number;
  readonly entries: readonly LogEntry[];
  readonly snapshot?: Snapshot;
  /** Whether the snapshot replaces the whole log. */
  readonly resetLog: boolean;
}

/** Effects that the caller carries out after a step, in the order returned. */
export type ConsensusEffect =
  | PersistEffect
  | { readonly kind: 'send'; readonly message: ConsensusMessage }
  | { readonly kind: 'apply'; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'restore'; readonly snapshot: Snapshot }
  | {
      readonly kind: 'accepted';
      readonly proposalId: number;
      readonly index: number;
      readonly term: number;
    }
  | { readonly kind: 'refused'; readonly proposalId: number; readonly reason: RefusalReason }
  | { readonly kind: 'readReady'; readonly readId: number; readonly index: number }
  | { readonly kind: 'readFailed'; readonly readId: number }
  | {
      readonly kind: 'silentReplicaRemoved';
      readonly replicaId: ReplicaId;
      readonly silentMs: number;
    }
  | { readonly kind: 'changeRefused'; readonly reason: RefusalReason }
  | { readonly kind: 'membersChanged'; readonly members: Members; readonly index: number }
  | {
      readonly kind: 'roleChanged';
      readonly role: ReplicaRole;
      readonly term: number;
      readonly leader: ReplicaId | null;
    };
