import { randomUUID } from 'node:crypto';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import type {
  ConsensusMessage,
  ReplacementOptions,
} from '@buckthornlug/core/consensus/consensusTypes.js';
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
import { JoinRequester } from './joinRequester.js';
import { storageRetryDelayMs } from './storageRetry.js';
import type { GroupStorage } from './storageTypes.js';

/** Replica of a group on this host: opens its folder, forms or joins the group, runs its task. */

const formationPollIntervalMs = 150;
const joinPollIntervalMs = 300;
/** Interval at which a replica that may have been removed asks to be added again. */
const rejoinPollIntervalMs = 1000;
const barrierPollIntervalMs = 10;
const groupsFolderName = 'groups';

/** Dependencies of a member replica. */
export interface MemberReplicaParts<Command, Reply> {
  readonly context: HostContext;
  readonly peers: Pick<PeerClients, 'request'>;
  readonly formationGuard: Pick<FormationGuard, 'claim' | 'findFormationWithVoter'>;
  /** Sends heartbeats as datagrams; if absent, procedure calls carry them. */
  readonly heartbeatLink: Pick<HeartbeatLink, 'send'> | undefined;
  readonly groupId: string;
  /** Hosts that the settings list as members; they form the group. */
  readonly configuredHostIds: readonly string[];
  /** When replicas of hosts that are gone are removed; never if absent. */
  readonly replacement: ReplacementOptions | undefined;
  /** Whether hosts with empty disks may form the group. */
  readonly mayForm: boolean;
  /** Other hosts that hold a replica of the group or may know one that does. */
  readonly otherHostIds: () => readonly string[];
  readonly machine: ReplicatedMachine<Command, Reply>;
  readonly dataFolder: string;
}

/** Returns the path of the folder of a group. */
export function groupFolderPath(dataFolder: string, groupId: string): string {
  return join(dataFolder, groupsFolderName, groupId);
}

/** A replica that forms or joins its group, and its task from then on. */
export class MemberReplica<Command, Reply> {
  private storage: GroupStorage | undefined;

  private problem: Failure | undefined;

  private pollTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  /** Current attempt to form or join the group; never rejects. */
  private formationAttempt: Promise<void> = Promise.resolve();

  private readonly listeners = new Set<(logIndex: number) => void>();

  task: GroupTask<Command, Reply> | undefined;

  private readonly joinRequester: JoinRequester;

  constructor(private readonly parts: MemberReplicaParts<Command, Reply>) {
    const { peers, groupId, otherHostIds, context } = parts;
    this.joinRequester = new JoinRequester({
      peers,
      groupId,
      otherHostIds,
      random: context.random,
    });
  }

  /**
   * Opens the folder, then starts the task or the attempts to form or join the group. A folder that cannot
   * be written, as on a full disk, is opened again later; one that is damaged is not.
   */
  async start(): Promise<void> {
    const { dataFolder, groupId } = this.parts;
    const folder = groupFolderPath(dataFolder, groupId);
    const opened = await openGroupStorage(folder, () => randomUUID().slice(0, 8));
    if (opened.isErr()) {
      this.reportStorageFault(opened.error);
      if (opened.error.code === 'BL5004') this.restartLater();
      return;
    }
    if (this.isStopped) {
      await opened.value.close();
      return;
    }
    this.problem = undefined;
    this.storage = opened.value;
    const { cutBytes, identity } = opened.value.stored();
    if (cutBytes > 0) this.parts.context.log.warn('tornWriteCut', { groupId, cutBytes });
    if (identity.formationId === undefined) this.pollFormation();
    else this.startTask(opened.value);
  }

  private restartLater(): void {
    if (this.isStopped) return;
    this.pollTimer = setTimeout(() => {
      this.formationAttempt = this.start();
    }, storageRetryDelayMs);
  }

  private reportStorageFault(problem: Failure): void {
    const { groupId, context } = this.parts;
    const isKnown = this.problem?.code === problem.code;
    this.problem = problem;
    if (isKnown) return;
    const { code, detail } = problem;
    context.log.error('storageFault', { groupId, code, detail });
    context.record({ kind: 'storageFault', code, detail: { groupId, detail } });
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

  /** Tries once to form or join the group; returns whether no further attempt is needed. */
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

  /** Returns the formation to start with; undefined if the replica has to wait. */
  private async chooseFormation(
    next: FormationStep,
    replicaId: string,
  ): Promise<Pick<Formation, 'formationId' | 'voters'> | undefined> {
    if (next.step === 'adopt') return next;
    if (next.step === 'form' && this.parts.mayForm) return this.claimFormation(next.voters);
    return this.parts.formationGuard.findFormationWithVoter(this.parts.groupId, replicaId);
  }

  /** Claims the right to form the group; undefined while it must not be formed. */
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
      replacement: this.parts.replacement,
      sendBatch: (hostId, messages) => this.sendBatch(hostId, formationId, messages),
      sendHeartbeats: (hostId, messages) =>
        heartbeatLink?.send(hostId, groupId, formationId, messages) ?? false,
    });
    this.task.onApplied((logIndex) => {
      for (const listener of this.listeners) listener(logIndex);
    });
    context.log.info('replicaStarted', { groupId, replicaId: this.task.replicaId });
    this.pollJoin();
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

  /**
   * Asks to be added to the group while that may be needed. A replica with a log asks only where replicas
   * are removed without an operator: the place of its host may have been given away while it was cut off.
   */
  private pollJoin(): void {
    const { task } = this;
    if (task === undefined || this.isStopped) return;
    const isNew = task.isWaitingToJoin();
    const isRemovable = this.parts.replacement !== undefined;
    if (!isNew && !isRemovable) return;
    const shallAsk = isNew || task.mayBeRemoved();
    const asked = shallAsk ? this.joinRequester.request(task.replicaId) : Promise.resolve();
    const intervalMs = isNew ? joinPollIntervalMs : rejoinPollIntervalMs;
    asked.finally(() => {
      if (this.isStopped) return;
      this.pollTimer = setTimeout(() => this.pollJoin(), intervalMs);
    });
  }

  /** Registers a listener for changes of the machine, also before the task starts. */
  onApplied(listener: (logIndex: number) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Waits until the replica runs and has applied everything committed before the call. */
  readBarrier(timeoutMs: number): ResultAsync<void, Failure> {
    return new ResultAsync(this.awaitBarrier(timeoutMs));
  }

  private async awaitBarrier(timeoutMs: number): Promise<Result<void, Failure>> {
    const { clock } = this.parts.context;
    const deadlineMs = clock.nowMs() + timeoutMs;
    while (this.task === undefined && clock.nowMs() < deadlineMs && !this.isStopped) {
      await delay(barrierPollIntervalMs);
    }
    if (this.task !== undefined) return this.task.readBarrier(deadlineMs - clock.nowMs());
    return err(this.problem ?? failure('BL5001', 'the replica has not joined its group yet'));
  }

  describe(): GroupDescription {
    const { groupId } = this.parts;
    if (this.task !== undefined) return this.withFirstVoters(this.task.describe());
    const { storage, problem } = this;
    const replica = storage === undefined ? {} : { replicaId: this.replicaId(storage) };
    if (problem !== undefined) return { groupId, state: 'failed', ...replica, failure: problem };
    return { groupId, state: storage === undefined ? 'unknown' : 'empty', ...replica };
  }

  /** Adds the first voters until a snapshot replaces the initial state, which lists them. */
  private withFirstVoters(description: GroupDescription): GroupDescription {
    const snapshot = this.storage?.stored().durable?.snapshot;
    if (snapshot === undefined || snapshot.index > 0) return description;
    return { ...description, firstVoters: snapshot.members.voters };
  }

  /** Handles messages of a host and returns the replies; ignores messages of other formations. */
  async exchange(
    fromHostId: string,
    formationId: string,
    messages: readonly ConsensusMessage[],
  ): Promise<readonly ConsensusMessage[]> {
    if (this.storage?.stored().identity.formationId !== formationId) return [];
    return (await this.task?.exchange(fromHostId, messages)) ?? [];
  }

  /** Handles messages that need no immediate reply; ignores messages of other formations. */
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
