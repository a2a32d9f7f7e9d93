import { setTimeout as delay } from 'node:timers/promises';

import type { MembershipChange } from '@buckthornlug/core/consensus/consensusTypes.js';
import type { ChangeRefusal } from '@buckthornlug/core/consensus/replicaChanges.js';
import { isValidReplicaChange } from '@buckthornlug/core/groups/replicaChangeSignature.js';
import type {
  ReplicaChange,
  ReplicaChangeReply,
  SignedReplicaChange,
} from '@buckthornlug/protocol/groups/replicaChangeSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { PeerClients } from '../rpc/peerClients.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { decodeBase64, encodeBase64 } from './binaryCodec.js';
import type { GroupDescription, LeaderReply } from './consensusSchema.js';
import type { GroupTask } from './groupTaskTypes.js';

/** Longest wait of the leader for the commit of a change. */
const maxCommitWaitMs = 2500;
/** Time limit of a request to the leader; longer than the leader's wait for the commit. */
const requestTimeoutMs = 4000;
const commitPollIntervalMs = 10;

type ChangeableTask = Pick<
  GroupTask<unknown, unknown>,
  'planChange' | 'changeMembers' | 'describe'
>;

/** Dependencies of the replica changer. */
export interface ReplicaChangerParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'log'>;
  readonly peers: Pick<PeerClients, 'request'>;
  /** Task of the replica on this host, if one runs. */
  readonly findTask: (groupId: string) => ChangeableTask | undefined;
  readonly describe: (groupId: string) => GroupDescription;
  readonly describeAnywhere: (groupId: string) => ResultAsync<GroupDescription, Failure>;
  /** Refusal that names the leader if it is known. */
  readonly notLeader: (groupId: string) => LeaderReply;
}

function failureOfRefusal(reason: ChangeRefusal): Failure {
  if (reason === 'notLeader') return failure('BL5001', 'this host does not lead the group');
  if (reason === 'otherBase') return failure('BL5010', 'the listed replicas are out of date');
  if (reason === 'noMajority') {
    return failure('BL5011', 'no majority of the remaining replicas answers');
  }
  return failure('BL5006', 'another replica is still catching up');
}

/** Executes changes of a group's replicas that operators request. */
export class ReplicaChanger {
  constructor(private readonly parts: ReplicaChangerParts) {}

  /**
   * Forwards a change to the leader.
   *
   * @returns the replicas once the change is committed; BL5001, BL5002 or BL6003 if the same
   *   request should be sent again
   */
  request(signed: SignedReplicaChange): ResultAsync<ReplicaChangeReply, Failure> {
    return new ResultAsync(this.forwardToLeader(signed));
  }

  private async forwardToLeader(
    signed: SignedReplicaChange,
  ): Promise<Result<ReplicaChangeReply, Failure>> {
    const { settings } = this.parts.context;
    const { groupId } = signed;
    if (!this.isValid(signed)) {
      return err(
        failure('BL5012', 'the change is not signed with a cluster key, or is not recent'),
      );
    }
    const group = await this.parts.describeAnywhere(groupId);
    if (group.isErr()) return err(group.error);
    const { leaderId } = group.value;
    if (leaderId === undefined) return err(failure('BL5001', `"${groupId}" has no leader`));
    const reply =
      leaderId === settings.hostId
        ? ok(await this.changeAsLeader(signed))
        : await this.parts.peers.request(
            leaderId,
            (client, signal) => client.consensus.changeReplicas.mutate(signed, { signal }),
            requestTimeoutMs,
          );
    if (reply.isErr()) return err(failure('BL5002', reply.error.detail));
    if (!reply.value.ok) return err(reply.value.failure);
    return ok(decodeBase64(reply.value.reply) as ReplicaChangeReply);
  }

  /** Executes a change as the leader; resolves once it is committed. */
  async changeAsLeader(signed: SignedReplicaChange): Promise<LeaderReply> {
    const { groupId, change, baseReplicaIds } = signed;
    const task = this.parts.findTask(groupId);
    if (task === undefined) return this.parts.notLeader(groupId);
    if (!this.isValid(signed)) {
      return {
        ok: false,
        failure: failure('BL5012', 'the leader does not accept the signature or age of the change'),
      };
    }
    const resolved = await this.resolveChange(groupId, change);
    if (resolved.isErr()) return { ok: false, failure: resolved.error };
    const committed = await this.commit(task, {
      change: resolved.value,
      baseReplicaIds,
      requestedAtMs: this.parts.context.clock.nowMs(),
    });
    if (committed.isErr()) {
      if (committed.error.code === 'BL5001') return this.parts.notLeader(groupId);
      return { ok: false, failure: committed.error };
    }
    const reply: ReplicaChangeReply = { groupId, replicas: [...(task.describe().replicas ?? [])] };
    this.parts.context.log.info('replicasChanged', { groupId, ...resolved.value });
    return { ok: true, reply: encodeBase64(reply) };
  }

  private async commit(
    task: ChangeableTask,
    requested: Parameters<ChangeableTask['planChange']>[0],
  ): Promise<Result<void, Failure>> {
    const { clock } = this.parts.context;
    const deadlineMs = clock.nowMs() + maxCommitWaitMs;
    let isStarted = false;
    while (clock.nowMs() < deadlineMs) {
      const next = task.planChange(requested);
      if (next.plan === 'done') return ok(undefined);
      if (next.plan === 'refuse') {
        const isUnknown = isStarted && next.reason === 'notLeader';
        if (isUnknown) return err(failure('BL5002', 'leadership was lost before the commit'));
        return err(failureOfRefusal(next.reason));
      }
      if (next.plan === 'make') {
        task.changeMembers(next.change);
        isStarted = true;
      }
      await delay(commitPollIntervalMs);
    }
    return err(failure('BL5002', 'the change was not committed in time'));
  }

  private isValid(signed: SignedReplicaChange): boolean {
    const { clock, settings } = this.parts.context;
    return isValidReplicaChange(signed, settings.clusterKeys, clock.wallMs());
  }

  /** Determines the replica that runs on a host to be added. */
  private async resolveChange(
    groupId: string,
    change: ReplicaChange,
  ): Promise<Result<MembershipChange, Failure>> {
    if (change.change === 'remove') return ok(change);
    const { hostId } = change;
    const ownDescription = this.parts.describe(groupId);
    const answer =
      hostId === this.parts.context.settings.hostId
        ? ok(ownDescription)
        : await this.parts.peers.request(hostId, (client, signal) =>
            client.consensus.describe.query({ groupId }, { signal }),
          );
    if (answer.isErr()) return err(answer.error);
    const { replicaId, formationId, state } = answer.value;
    if (
      state !== 'running' ||
      replicaId === undefined ||
      formationId !== ownDescription.formationId
    ) {
      const detail = `host "${hostId}" runs no replica of "${groupId}"; list it in its own settings`;
      return err(failure('BL5005', detail));
    }
    return ok({ change: 'add', replicaId });
  }
}
