import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

/** Commands proposed on this host that wait for their outcome. */

interface Waiter<Reply> {
  readonly resolve: (result: Result<Reply, Failure>) => void;
  readonly timer: NodeJS.Timeout;
}

interface LogPosition {
  readonly proposalId: number;
  readonly term: number;
}

const unknownOutcome = failure('BL5002', 'the command was not confirmed in time');
const notProposed = failure('BL5001', 'this host does not lead the group');

/** Waiting proposals, by id and, once in the log, by index. */
export class PendingReplies<Reply> {
  private readonly waiters = new Map<number, Waiter<Reply>>();

  private readonly accepted = new Map<number, LogPosition>();

  private nextId = 1;

  /**
   * Registers a new proposal and returns its id and its future outcome.
   *
   * @param timeoutMs - time after which the outcome is unknown
   */
  open(timeoutMs: number): { proposalId: number; result: ResultAsync<Reply, Failure> } {
    const proposalId = this.nextId;
    this.nextId += 1;
    const outcome = new Promise<Result<Reply, Failure>>((resolve) => {
      const timer = setTimeout(() => this.settle(proposalId, err(unknownOutcome)), timeoutMs);
      this.waiters.set(proposalId, { resolve, timer });
    });
    return { proposalId, result: new ResultAsync(outcome) };
  }

  private settle(proposalId: number, result: Result<Reply, Failure>): void {
    const entry = this.waiters.get(proposalId);
    if (entry === undefined) return;
    this.waiters.delete(proposalId);
    clearTimeout(entry.timer);
    entry.resolve(result);
  }

  /** Records the position of a proposal in the log. */
  recordPosition(proposalId: number, index: number, term: number): void {
    this.accepted.set(index, { proposalId, term });
  }

  /** Ends a proposal that the replica refused. */
  refuse(proposalId: number): void {
    this.settle(proposalId, err(notProposed));
  }

  /** Ends the proposal at an applied index, if this host made one. */
  settleApplied(index: number, term: number, reply: Reply): void {
    const entry = this.accepted.get(index);
    if (entry === undefined) return;
    this.accepted.delete(index);
    this.settle(entry.proposalId, entry.term === term ? ok(reply) : err(notProposed));
  }

  /** Ends the proposals that a restored snapshot covers, since their outcome is not known here. */
  settleUnknownUpTo(index: number): void {
    for (const [at, { proposalId }] of this.accepted) {
      if (at > index) continue;
      this.accepted.delete(at);
      this.settle(proposalId, err(unknownOutcome));
    }
  }

  /** Ends all waiting proposals with an unknown outcome. */
  close(): void {
    for (const proposalId of [...this.waiters.keys()]) this.settle(proposalId, err(unknownOutcome));
    this.accepted.clear();
  }
}
