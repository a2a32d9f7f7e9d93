import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import type { ConsensusMessage } from '@buckthornlug/core/consensus/consensusTypes.js';
import type { Formation } from '@buckthornlug/core/submissions/formationRegistry.js';
import type { ReplicatedMachine } from '@buckthornlug/core/consensus/replicatedMachineTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ResultAsync, type Result } from 'neverthrow';

import type { PeerClients } from '../rpc/peerClients.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { decodeBase64, encodeBase64 } from './binaryCodec.js';
import type { GroupDescription } from './consensusSchema.js';
import type { FormationGuard } from './formationGuard.js';
import { createInitialState, nextFormationStep, type FormationStep } from './formation.js';
import { openGroupStorage } from './groupStorage.js';
import { startGroupTask } from './groupTask.js';
import type { GroupTask } from './groupTaskTypes.js';
import type { HeartbeatLink } from './heartbeatLink.js';
import type { GroupStorage } from './storageTypes.js';

/** The replica of a member host: opens its folder, forms or joins the group, runs its task. */

const formationPollIntervalMs = 150;
const joinPollIntervalMs = 300;
const barrierPollIntervalMs = 10;
const groupsFolderName = 'groups';

/** What a member replica is given. */
export interface MemberReplicaParts<Command, Reply> {
  readonly context: HostContext;
  readonly peers: Pick<PeerClients, 'request'>;
  readonly formationGuard: Pick<FormationGuard, 'claim' | 'findFormationWithVoter'>;
  /** Link for heartbeats; procedure calls carry them where absent. */
  readonly heartbeatLink: Pick<HeartbeatLink, 'send'> | undefined;
  readonly groupId: string;
  /** Hosts that start the group. */
  readonly configuredHostIds: readonly string[];
  /** Whether empty disks may form the group. */
  readonly mayForm: boolean;
  /** Other hosts that hold a replica or may know one that does. */
  readonly otherHostIds: () => readonly string[];
  readonly machine: ReplicatedMachine<Command, Reply>;
  readonly dataFolder: string;
}

/**
 * Folder of a group.
 *
 * @param dataFolder - data folder of the host
 * @param groupId - group
 */
export function groupFolderPath(dataFolder: string, groupId: string): string {
  return join(dataFolder, groupsFolderName, groupId);
}

/** A replica on its way into its group, and its task once it is there. */
export class MemberReplica<Command, Reply> {
  private storage: GroupStorage | undefined;

  private problem: Failure | undefined;

  private pollTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  /** Attempt to enter the group that is under way; never rejects. */
  private formationAttempt: Promise<void> = Promise.resolve();

  private readonly listeners = new Set<(logIndex: number) => void>();

  task: GroupTask<Command, Reply> | undefined;

  constructor(private readonly parts: MemberReplicaParts<Command, Reply>) {}

  /** Opens the folder; resolves when the replica runs or is on its way. */
  async start(): Promise<void> {
    const { dataFolder, groupId, context } = this.parts;
    const folder = groupFolderPath(dataFolder, groupId);
    const opened = await openGroupStorage(folder, () => randomUUID().slice(0, 8));
    if (opened.isErr()) {
      this.problem = opened.error;
      const { code, detail } = opened.error;
      context.log.error('storageFault', { groupId, code, detail });
      context.record({ kind: 'storageFault', code, detail: { groupId, detail } });
      return;
    }
    this.storage = opened.value;
    const { cutBytes, identity } = opened.value.stored();
    if (cutBytes > 0) context.log.warn('tornWriteCut', { groupId, cutBytes });
    if (identity.formationId === undefined) this.pollFormation();
    else this.startTask(opened.value);
  }

  private replicaId(storage: GroupStorage): string {
    return `${this.parts.context.settings.hostId}/${storage.stored().identity.incarnation}`;
  }

  private async queryDescriptions(): Promise<GroupDescription[]> {
    const { peers, groupId } = this.parts;
    const answers = await Promise.all(
      this.parts
        .otherHostIds()
        .map((hostId) =>
          peers.request(hostId, (client, signal) =>
            client.consensus.describe.query({ groupId }, { signal }),
          ),
        ),
    );
    return answers.flatMap((answer) => (answer.isOk() ? [answer.value] : []));
  }

  private pollFormation(): void {
    this.formationAttempt = this.attemptFormation().then(
      (isDone) => {
        if (isDone || this.isStopped) return;
        this.pollTimer = setTimeout(() => this.pollFormation(), formationPollIntervalMs);
      },
      (error: unknown) => {
        this.parts.context.log.error('formationFailed', { problem: String(error) });
      },
    );
  }

  /** One attempt to enter the group. */
  private async attemptFormation(): Promise<boolean> {
    const { storage } = this;
    if (storage === undefined) return true;
    const answers = await this.queryDescriptions();
    const next = nextFormationStep(this.replicaId(storage), this.parts.configuredHostIds, answers);
    if (this.isStopped) return false;
    const formation = await this.chooseFormation(next, this.replicaId(storage));
    if (formation === undefined || this.isStopped) return false;
    const joined = await storage.join(formation.formationId, createInitialState(formation.voters));
    if (joined.isErr()) {
      this.problem = joined.error;
      return false;
    }
    this.problem = undefined;
    if (!this.isStopped) this.startTask(storage);
    return true;
  }

  /** The formation to enter the group with; undefined where the replica has to wait. */
  private async chooseFormation(
    next: FormationStep,
    replicaId: string,
  ): Promise<Pick<Formation, 'formationId' | 'voters'> | undefined> {
    if (next.step === 'adopt') return next;
    if (next.step === 'form' && this.parts.mayForm) return this.claimFormation(next.voters);
    return this.parts.formationGuard.findFormationWithVoter(this.parts.groupId, replicaId);
  }

  /** Claims the formation of the group; undefined while it must not be formed. */
  private async claimFormation(voters: readonly string[]): Promise<Formation | undefined> {
    const { formationGuard, groupId, context } = this.parts;
    const claimed = await formationGuard.claim({ groupId, formationId: randomUUID(), voters });
    if (claimed.isOk()) return claimed.value;
    const { code, detail } = claimed.error;
    const isNew = this.problem?.code !== code;
    if (code !== 'BL5007') return undefined;
    this.problem = claimed.error;
    if (isNew) {
      context.log.error('formationRefused', { groupId, code, detail });
      context.record({ kind: 'formationRefused', code, detail: { groupId, detail } });
    }
    return undefined;
  }

  private startTask(storage: GroupStorage): void {
    const { context, groupId, machine, heartbeatLink } = this.parts;
    const formationId = storage.stored().identity.formationId ?? '';
    this.task = startGroupTask({
      context,
      groupId,
      machine,
      storage,
      sendBatch: (hostId, messages) => this.sendBatch(hostId, formationId, messages),
      sendHeartbeats: (hostId, messages) =>
        heartbeatLink?.send(hostId, groupId, formationId, messages) ?? false,
    });
    this.task.onApplied((logIndex) => {
      for (const listener of this.listeners) listener(logIndex);
    });
    context.log.info('replicaStarted', { groupId, replicaId: this.task.replicaId });
    if (this.task.isWaitingToJoin()) this.pollJoin();
  }

  private async sendBatch(
    hostId: string,
    formationId: string,
    messages: readonly ConsensusMessage[],
  ): Promise<void> {
    const { peers, groupId } = this.parts;
    const batch = { groupId, formationId, messages: encodeBase64(messages) };
    const sent = await peers.request(hostId, (client, signal) =>
      client.consensus.deliver.mutate(batch, { signal }),
    );
    if (sent.isErr() || sent.value.answers === null) return;
    this.task?.deliver(decodeBase64(sent.value.answers) as ConsensusMessage[]);
  }

  private pollJoin(): void {
    const { task } = this;
    if (task === undefined || this.isStopped || !task.isWaitingToJoin()) return;
    this.requestJoin(task.replicaId).finally(() => {
      if (this.isStopped) return;
      this.pollTimer = setTimeout(() => this.pollJoin(), joinPollIntervalMs);
    });
  }

  /** Asks every member; the leader among them adds the replica. */
  private async requestJoin(replicaId: string): Promise<void> {
    const { peers, groupId } = this.parts;
    await Promise.all(
      this.parts
        .otherHostIds()
        .map((hostId) =>
          peers.request(hostId, (client, signal) =>
            client.consensus.join.mutate({ groupId, replicaId }, { signal }),
          ),
        ),
    );
  }

  /** Calls back after the machine has changed, also where the task starts later. */
  onApplied(listener: (logIndex: number) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Waits until the replica runs and holds everything committed before the call. */
  readBarrier(timeoutMs: number): ResultAsync<void, Failure> {
    return new ResultAsync(this.awaitBarrier(timeoutMs));
  }

  private async awaitBarrier(timeoutMs: number): Promise<Result<void, Failure>> {
    const { clock } = this.parts.context;
    const untilMs = clock.nowMs() + timeoutMs;
    while (this.task === undefined && clock.nowMs() < untilMs && !this.isStopped) {
      await delay(barrierPollIntervalMs);
    }
    if (this.task !== undefined) return this.task.readBarrier(untilMs - clock.nowMs());
    return err(this.problem ?? failure('BL5001', 'the replica has not entered its group yet'));
  }

  describe(): GroupDescription {
    const { groupId } = this.parts;
    if (this.task !== undefined) return this.withFirstVoters(this.task.describe());
    const { storage, problem } = this;
    const replica = storage === undefined ? {} : { replicaId: this.replicaId(storage) };
    if (problem !== undefined) return { groupId, state: 'failed', ...replica, failure: problem };
    return { groupId, state: storage === undefined ? 'unknown' : 'empty', ...replica };
  }

  /** Adds the first voters while this host still holds the start of the group. */
  private withFirstVoters(description: GroupDescription): GroupDescription {
    const snapshot = this.storage?.stored().durable?.snapshot;
    if (snapshot === undefined || snapshot.index > 0) return description;
    return { ...description, firstVoters: snapshot.members.voters };
  }

  /** Takes messages of other replicas of the same start of the group. */
  async exchange(
    fromHostId: string,
    formationId: string,
    messages: readonly ConsensusMessage[],
  ): Promise<readonly ConsensusMessage[]> {
    if (this.storage?.stored().identity.formationId !== formationId) return [];
    return (await this.task?.exchange(fromHostId, messages)) ?? [];
  }

  /** Takes messages that need no answer at once; other starts of the group are ignored. */
  deliver(formationId: string, messages: readonly ConsensusMessage[]): void {
    if (this.storage?.stored().identity.formationId === formationId) this.task?.deliver(messages);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.pollTimer);
    await this.formationAttempt;
    if (this.task === undefined) await this.storage?.close();
    else await this.task.stop();
  }
}
