import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

/** A replicated group as other features of the host see it, on members and on other hosts alike. */
export interface GroupHandle<Command, Reply> {
  readonly groupId: string;
  /**
   * Commits a command and returns the machine's reply. Goes to the leader over the network where
   * needed. BL5001: not proposed, may be repeated; BL5002: may or may not have been committed.
   */
  readonly submit: (command: Command, timeoutMs: number) => ResultAsync<Reply, Failure>;
  /** Asks the leader without a commit. */
  readonly read: (command: Command, timeoutMs: number) => ResultAsync<Reply, Failure>;
  /** Whether this host leads the group and has confirmed it within the lease of its quorum. */
  readonly isLeader: () => boolean;
  readonly leaderId: () => string | undefined;
  /** Time since this replica knew a leader that a quorum follows; infinite on other hosts. */
  readonly leaderSilentMs: () => number;
  /** Resolves when the local machine holds everything committed before the call; members only. */
  readonly readBarrier: (timeoutMs: number) => ResultAsync<void, Failure>;
  /** Calls back after the local machine has changed; members only. */
  readonly onApplied: (listener: (logIndex: number) => void) => () => void;
}
