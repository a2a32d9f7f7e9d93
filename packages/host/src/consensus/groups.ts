import type {
  ConsensusMessage,
  ReplacementOptions,
} from '@buckthornlug/core/consensus/consensusTypes.js';
import { hostIdOf } from '@buckthornlug/core/consensus/membership.js';
import { isParticipating } from '@buckthornlug/core/membership/memberStamp.js';
import type { ReplicatedMachine } from '@buckthornlug/core/consensus/replicatedMachineTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

import type { PeerClients } from '../rpc/peerClients.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { decodeBase64, decodeBinary, encodeBase64 } from './binaryCodec.js';
import type { ConsensusHandlers } from './consensusRouter.js';
import type {
  DeliverReply,
  DeliverRequest,
  GroupDescription,
  JoinRequest,
  LeaderReply,
  SubmitRequest,
} from './consensusSchema.js';
import { FormationGuard } from './formationGuard.js';
import { findConfiguredMembers, findGroupSettings, holdsReplica } from './groupMembers.js';
import type { GroupHandle } from './groupTypes.js';
import { HeartbeatLink, type HeartbeatBatch } from './heartbeatLink.js';
import { LeaderClient } from './leaderClient.js';
import { MemberReplica } from './memberReplica.js';
import { ReplicaChanger } from './replicaChanger.js';

/**
 * Opens a group on this host. On a host with a replica the machine applies the log; on other hosts
 * it stays empty and commands are sent to the leader.
 */
export type OpenGroup = <Command, Reply>(
  groupId: string,
  machine: ReplicatedMachine<Command, Reply>,
) => GroupHandle<Command, Reply>;

/** A replica on this host, without the types of its commands and replies. */
type AnyReplica = MemberReplica<unknown, unknown>;

/** Refusal that names the leader if it is known. */
function notLeaderReply(replica: AnyReplica | undefined, groupId: string): LeaderReply {
  if (replica === undefined) {
    return { ok: false, failure: failure('BL5005', `this host runs no replica of "${groupId}"`) };
  }
  if (replica.task === undefined) {
    const detail = `the replica of "${groupId}" has not joined its group yet`;
    return { ok: false, failure: failure('BL5001', detail) };
  }
  const leaderId = replica.task.leaderId();
  const problem = failure('BL5001', 'this host does not lead the group');
  return { ok: false, failure: problem, ...(leaderId === undefined ? {} : { leaderId }) };
}

/** Replicated groups of a host: opens them, answers other hosts, and stops them as planned. */
export class HostGroups {
  private readonly replicas = new Map<string, AnyReplica>();

  private readonly startPromises: Promise<void>[] = [];

  private readonly peers: PeerClients;

  readonly formationGuard: FormationGuard;

  private readonly heartbeatLink: HeartbeatLink | undefined;

  /** Executes replica changes that operators request. */
  readonly replicaChanger: ReplicaChanger;

  constructor(
    private readonly context: HostContext,
    private readonly parts: HostParts,
  ) {
    const { settings, incarnation, clock } = context;
    const { peers, datagrams } = parts;
    this.peers = peers;
    this.formationGuard = new FormationGuard(context, parts);
    this.replicaChanger = new ReplicaChanger({
      context,
      peers,
      findTask: (groupId) => this.replicas.get(groupId)?.task,
      describe: (groupId) => this.describe(groupId),
      describeAnywhere: (groupId) => this.describeAnywhere(groupId),
      notLeader: (groupId) => notLeaderReply(this.replicas.get(groupId), groupId),
    });
    if (datagrams === undefined) return;
    this.heartbeatLink = new HeartbeatLink({
      hostId: settings.hostId,
      incarnation,
      datagrams,
      addressOf: (hostId) =>
        settings.peerAddresses[hostId] === undefined ? peers.addressOf(hostId) : undefined,
      clock,
      onBatch: (batch) => this.deliverHeartbeats(batch),
    });
  }

  private deliverHeartbeats({ groupId, formationId, messages }: HeartbeatBatch): void {
    this.replicas.get(groupId)?.deliver(formationId, messages);
  }

  /** Hosts that the settings list as members of the group. */
  configuredHostIds(groupId: string): readonly string[] {
    return findConfiguredMembers(this.context.settings, groupId);
  }

  /** Hosts that hold a replica of the group, according to the replica on this host. */
  private replicaHostIds(groupId: string): readonly string[] {
    const replicas = this.replicas.get(groupId)?.describe().replicas ?? [];
    return replicas.map(({ hostId }) => hostId);
  }

  /** Hosts with a replica, configured members, and control hosts that may join by themselves. */
  private knownHostIds(groupId: string): readonly string[] {
    const hostIds = [...this.replicaHostIds(groupId), ...this.configuredHostIds(groupId)];
    if (findGroupSettings(this.context.settings, groupId)?.admitsControlHosts === true) {
      for (const host of this.parts.membership.hosts()) {
        if (host.roles.includes('control') && isParticipating(host.state))
          hostIds.push(host.hostId);
      }
    }
    return [...new Set(hostIds)];
  }

  /** Whether a replica may join without an operator. */
  private mayJoin(groupId: string, replicaId: string): boolean {
    if (findGroupSettings(this.context.settings, groupId)?.admitsControlHosts === true) return true;
    return this.replicaHostIds(groupId).includes(hostIdOf(replicaId));
  }

  /** When replicas of a group are removed without an operator; undefined if never. */
  private replacementOf(groupId: string): ReplacementOptions | undefined {
    const group = findGroupSettings(this.context.settings, groupId);
    if (group?.admitsControlHosts !== true || group.replacement === undefined) return undefined;
    return { ...group.replacement, placeOf: (hostId) => this.parts.membership.find(hostId) };
  }

  open: OpenGroup = <Command, Reply>(
    groupId: string,
    machine: ReplicatedMachine<Command, Reply>,
  ): GroupHandle<Command, Reply> => {
    const { settings, clock } = this.context;
    const configuredHostIds = this.configuredHostIds(groupId);
    let replica: MemberReplica<Command, Reply> | undefined;
    if (holdsReplica(settings, groupId) && settings.dataFolder !== undefined) {
      const { dataFolder } = settings;
      const { context, peers, formationGuard, heartbeatLink } = this;
      const shared = { context, peers, formationGuard, heartbeatLink, machine, dataFolder };
      const mayForm = findGroupSettings(settings, groupId)?.mayForm ?? true;
      const replacement = this.replacementOf(groupId);
      const otherHostIds = () => this.knownHostIds(groupId).filter((id) => id !== settings.hostId);
      replica = new MemberReplica({
        ...shared,
        groupId,
        configuredHostIds,
        mayForm,
        replacement,
        otherHostIds,
      });
      this.replicas.set(groupId, replica as unknown as AnyReplica);
      this.startPromises.push(replica.start());
    }
    const client = new LeaderClient<Command, Reply>({
      groupId,
      hostId: settings.hostId,
      groupHostIds: () => this.knownHostIds(groupId),
      peers: this.peers,
      clock,
      localTask: () => replica?.task,
    });
    const notMember = failure('BL5005', `this host holds no replica of "${groupId}"`);
    return {
      groupId,
      submit: (command, timeoutMs) => client.submit(command, timeoutMs),
      read: (command, timeoutMs) => client.read(command, timeoutMs),
      isLeader: () => replica?.task?.isLeader() ?? false,
      leaderId: () => client.leaderId(),
      stateAgeMs: () => replica?.task?.stateAgeMs() ?? Number.POSITIVE_INFINITY,
      readBarrier: (timeoutMs) => replica?.readBarrier(timeoutMs) ?? errAsync(notMember),
      onApplied: (listener) => replica?.onApplied(listener) ?? (() => undefined),
    };
  };

  private async deliver(fromHostId: string, request: DeliverRequest): Promise<DeliverReply> {
    const { groupId, formationId, messages } = request;
    const batch = decodeBase64(messages) as ConsensusMessage[];
    const replica = this.replicas.get(groupId);
    const answers = (await replica?.exchange(fromHostId, formationId, batch)) ?? [];
    return { answers: answers.length === 0 ? null : encodeBase64(answers) };
  }

  private async submit(request: SubmitRequest): Promise<LeaderReply> {
    const replica = this.replicas.get(request.groupId);
    const { task } = replica ?? {};
    if (task === undefined || task.leaderId() !== this.context.settings.hostId) {
      return notLeaderReply(replica, request.groupId);
    }
    const encoded = Buffer.from(request.command, 'base64');
    const command = decodeBinary(encoded);
    const result =
      request.mode === 'read'
        ? task.read(command)
        : await task.propose(command, request.timeoutMs, encoded);
    if (result.isOk()) return { ok: true, reply: encodeBase64(result.value) };
    if (result.error.code === 'BL5001') return notLeaderReply(replica, request.groupId);
    return { ok: false, failure: result.error };
  }

  /**
   * Adds a replica of a host that is in the group already, as after a replaced disk. A host that is
   * new to the group has to be added by an operator, unless the group admits control hosts.
   */
  private join(request: JoinRequest): LeaderReply {
    const { groupId, replicaId } = request;
    const replica = this.replicas.get(groupId);
    const { task } = replica ?? {};
    if (task === undefined || !task.isLeader()) return notLeaderReply(replica, groupId);
    if (!this.mayJoin(groupId, replicaId)) {
      return {
        ok: false,
        failure: failure('BL5005', `"${replicaId}" belongs to no host of the group`),
      };
    }
    task.addReplica(replicaId);
    return { ok: true, reply: encodeBase64(null) };
  }

  /** Handlers of the procedures that other hosts call. */
  handlers(): ConsensusHandlers {
    return {
      deliver: (fromHostId, request) => this.deliver(fromHostId, request),
      submit: (request) => this.submit(request),
      describe: ({ groupId }) => ({ ...this.describe(groupId), documentVersion: this.version() }),
      join: (request) => this.join(request),
      changeReplicas: (request) => this.replicaChanger.changeAsLeader(request),
    };
  }

  private version(): number {
    return this.parts.document.current()?.version ?? 0;
  }

  /** Groups of the settings. */
  groupIds(): string[] {
    return this.context.settings.groups.map(({ id }) => id);
  }

  /** A group as this host sees it. */
  describe(groupId: string): GroupDescription {
    return this.replicas.get(groupId)?.describe() ?? { groupId, state: 'unknown' };
  }

  /** A group as its leader sees it; without one, as the host with the highest commit index. */
  describeAnywhere(groupId: string): ResultAsync<GroupDescription, Failure> {
    const ownDescription = this.describe(groupId);
    if (ownDescription.isLeader) return okAsync(ownDescription);
    return ResultAsync.fromSafePromise(this.findBestDescription(groupId, ownDescription));
  }

  private async findBestDescription(
    groupId: string,
    ownDescription: GroupDescription,
  ): Promise<GroupDescription> {
    const { hostId } = this.context.settings;
    const others = this.knownHostIds(groupId).filter((id) => id !== hostId);
    const answers = await Promise.all(
      others.map((id) =>
        this.peers.request(id, (client, signal) =>
          client.consensus.describe.query({ groupId }, { signal }),
        ),
      ),
    );
    const descriptions = [
      ownDescription,
      ...answers.flatMap((answer) => (answer.isOk() ? [answer.value] : [])),
    ];
    const priorityOf = (description: GroupDescription) =>
      (description.isLeader ? 1e12 : 0) + (description.commitIndex ?? -1);
    return descriptions.reduce((best, next) => (priorityOf(next) > priorityOf(best) ? next : best));
  }

  /** Resolves when the folders of all groups have been opened. */
  async waitUntilStarted(): Promise<void> {
    await Promise.all(this.startPromises);
  }

  async handOver(): Promise<void> {
    await Promise.all([...this.replicas.values()].map((replica) => replica.task?.handOver()));
  }

  async stop(): Promise<void> {
    await this.waitUntilStarted();
    await Promise.all([...this.replicas.values()].map((replica) => replica.stop()));
  }
}
