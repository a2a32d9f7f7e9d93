import { setTimeout as delay } from 'node:timers/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { PeerClients } from '../rpc/peerClients.js';
import type { Clock } from '../runtime/hostTypes.js';
import { decodeBase64, encodeBase64 } from './binaryCodec.js';
import type { GroupTask } from './groupTaskTypes.js';

/** Finds the leader of a group and forwards commands to it. */

const retryDelayMs = 25;
/** Error texts that prove that a failed request was never sent. */
const notSentCauses = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'no address of host'];

/** Dependencies of the client. */
export interface LeaderClientParts<Command, Reply> {
  readonly groupId: string;
  readonly hostId: string;
  /** Hosts to ask for the leader. */
  readonly groupHostIds: () => readonly string[];
  readonly peers: Pick<PeerClients, 'request'>;
  readonly clock: Clock;
  /** Task of the replica on this host, if one runs. */
  readonly localTask: () => GroupTask<Command, Reply> | undefined;
}

/** Whether a command is committed, or answered by the leader from its state. */
type CommandMode = 'commit' | 'read';

/** Outcome of one attempt: final, or where to try next. */
type AttemptOutcome<Reply> =
  | { readonly isFinal: true; readonly result: Result<Reply, Failure> }
  | { readonly isFinal: false; readonly problem: Failure; readonly leaderId?: string };

async function attemptLocally<Command, Reply>(
  task: GroupTask<Command, Reply>,
  command: Command,
  mode: CommandMode,
  timeoutMs: number,
): Promise<AttemptOutcome<Reply>> {
  const result = mode === 'read' ? task.read(command) : await task.propose(command, timeoutMs);
  if (result.isErr() && result.error.code === 'BL5001') {
    return { isFinal: false, problem: result.error };
  }
  return { isFinal: true, result };
}

/** Forwards commands to the leader of a group. */
export class LeaderClient<Command, Reply> {
  private leaderHint: string | undefined;

  private nextHostIndex = 0;

  constructor(private readonly parts: LeaderClientParts<Command, Reply>) {}

  /** Host of the leader, if known. */
  leaderId(): string | undefined {
    return this.parts.localTask()?.leaderId() ?? this.leaderHint;
  }

  private target(): string | undefined {
    const { hostId } = this.parts;
    const known = this.leaderHint ?? this.parts.localTask()?.leaderId();
    if (known !== undefined && known !== hostId) return known;
    const others = this.parts.groupHostIds().filter((id) => id !== hostId);
    this.nextHostIndex += 1;
    return others[this.nextHostIndex % Math.max(1, others.length)];
  }

  private async attemptRemotely(
    target: string,
    command: string,
    mode: CommandMode,
    timeoutMs: number,
  ): Promise<AttemptOutcome<Reply>> {
    const { peers, groupId } = this.parts;
    const sent = await peers.request(
      target,
      (client, signal) =>
        client.consensus.submit.mutate({ groupId, command, mode, timeoutMs }, { signal }),
      timeoutMs,
    );
    if (sent.isErr()) {
      const { detail } = sent.error;
      if (notSentCauses.some((cause) => detail.includes(cause))) {
        return { isFinal: false, problem: failure('BL5001', detail) };
      }
      this.leaderHint = undefined;
      return { isFinal: true, result: err(failure('BL5002', detail)) };
    }
    const reply = sent.value;
    if (reply.ok) {
      this.leaderHint = target;
      return { isFinal: true, result: ok(decodeBase64(reply.reply) as Reply) };
    }
    const { failure: problem, leaderId } = reply;
    if (problem.code !== 'BL5001' && problem.code !== 'BL5005') {
      return { isFinal: true, result: err(problem) };
    }
    return { isFinal: false, problem, ...(leaderId === undefined ? {} : { leaderId }) };
  }

  private async run(
    command: Command,
    mode: CommandMode,
    timeoutMs: number,
  ): Promise<Result<Reply, Failure>> {
    const { clock, localTask } = this.parts;
    const deadlineMs = clock.nowMs() + timeoutMs;
    let problem = failure('BL5001', 'no leader was found in time');
    let text: string | undefined;
    for (;;) {
      const remainingMs = Math.ceil(deadlineMs - clock.nowMs());
      if (remainingMs <= 0) return err(failure('BL5001', problem.detail));
      const task = localTask();
      const isLocal = task !== undefined && task.leaderId() === this.parts.hostId;
      const target = isLocal ? undefined : this.target();
      let attempt: AttemptOutcome<Reply> = { isFinal: false, problem };
      if (isLocal) attempt = await attemptLocally(task, command, mode, remainingMs);
      else if (target !== undefined) {
        text ??= encodeBase64(command);
        attempt = await this.attemptRemotely(target, text, mode, remainingMs);
      }
      if (attempt.isFinal) return attempt.result;
      ({ problem } = attempt);
      const isNewHint = attempt.leaderId !== undefined && attempt.leaderId !== target;
      this.leaderHint = isNewHint ? attempt.leaderId : undefined;
      if (isNewHint) continue;
      await delay(retryDelayMs);
    }
  }

  /**
   * Commits a command.
   *
   * @param timeoutMs - time limit over all attempts
   * @returns the machine's reply; BL5001 if it was not proposed, BL5002 if that is unknown
   */
  submit(command: Command, timeoutMs: number): ResultAsync<Reply, Failure> {
    return new ResultAsync(this.run(command, 'commit', timeoutMs));
  }

  /**
   * Evaluates a read-only command on the leader, without a commit.
   *
   * @param timeoutMs - time limit over all attempts
   * @returns the machine's reply; BL5001 or BL5002 if no leader answered
   */
  read(command: Command, timeoutMs: number): ResultAsync<Reply, Failure> {
    return new ResultAsync(this.run(command, 'read', timeoutMs));
  }
}
