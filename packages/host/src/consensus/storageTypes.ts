import type { DurableState, PersistEffect } from '@buckthornlug/core/consensus/consensusTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

/** Identity of a replica's disk and of the group that it joined. */
export interface ReplicaIdentity {
  readonly incarnation: string;
  /** Identity of the group's formation; absent until the replica has joined. */
  readonly formationId?: string;
}

/** Content of a group folder. */
export interface StoredGroup {
  readonly identity: ReplicaIdentity;
  /** Absent until the replica has joined its group. */
  readonly durable?: DurableState;
  /** Bytes of a torn write that were cut off. */
  readonly cutBytes: number;
}

/** Storage of the durable state of one replica. */
export interface GroupStorage {
  readonly stored: () => StoredGroup;
  /** Joins a group: writes the identity and the initial state. */
  readonly join: (formationId: string, durable: DurableState) => ResultAsync<void, Failure>;
  /** Writes changes as one batch and syncs it; one call at a time. */
  readonly write: (effects: readonly PersistEffect[]) => ResultAsync<void, Failure>;
  /** Writes the whole state to a new segment, as after a failed write. */
  readonly rewrite: (state: DurableState) => ResultAsync<void, Failure>;
  readonly close: () => Promise<void>;
}
