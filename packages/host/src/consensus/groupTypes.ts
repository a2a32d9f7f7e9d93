import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

/** A replicated group as other features use it, also on hosts without a replica. */
export interface GroupHandle<Command, Reply> {
  readonly groupId: string;
  /**
   * Commits a command and returns the machine's reply. Sends it to the leader if another host
   * leads. BL5001: not proposed, may be sent again; BL5002: may or may not have been committed.
   */
  readonly submit: (command: Command, timeoutMs: number) => ResultAsync<Reply, Failure>;
  /** Evaluates a read-only command on the leader, without a commit. */
  readonly read: (command: Command, timeoutMs: number) => ResultAsync<Reply, Failure>;
  /** Whether this host leads the group and holds a lease that a quorum has confirmed. */
  readonly isLeader: () => boolean;
  readonly leaderId: () => string | undefined;
  /** Time since the moment before which this host holds all that was committed; infinite without a replica. */
  readonly stateAgeMs: () => number;
  /**
   * Resolves when the local machine has applied everything committed before the call; BL5005 on a
   * host without a replica.
   */
  readonly readBarrier: (timeoutMs: number) => ResultAsync<void, Failure>;
  /**
   * Registers a listener for changes of the local machine and returns a function that removes it.
   * The listener is never called on a host without a replica.
   */
  readonly onApplied: (listener: (logIndex: number) => void) => () => void;
}
