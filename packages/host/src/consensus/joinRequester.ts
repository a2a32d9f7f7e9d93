import type { PeerClients } from '../rpc/peerClients.js';
import type { Random } from '../runtime/hostTypes.js';
import type { LeaderReply } from './consensusSchema.js';

/**
 * Asks the leader of a group to add a replica. Only the leader can, so one host is asked at a time:
 * the leader that the last answer named, or a random host. When dozens of control hosts start
 * together, requests of each to all the others would exceed all other traffic between regions.
 */

/** Requests of one round: a host that names the leader, and the leader. */
const maxRequestsPerRound = 2;

/** Dependencies of `JoinRequester`. */
export interface JoinRequesterParts {
  readonly peers: Pick<PeerClients, 'request'>;
  readonly groupId: string;
  readonly otherHostIds: () => readonly string[];
  readonly random: Random;
}

/** Requests the admission of a replica to its group. */
export class JoinRequester {
  private leaderId: string | undefined;

  constructor(private readonly parts: JoinRequesterParts) {}

  /** Sends the requests of one round. */
  async request(replicaId: string): Promise<void> {
    for (let requests = 0; requests < maxRequestsPerRound; requests += 1) {
      const target = this.leaderId ?? this.randomHostId();
      if (target === undefined) return;
      const reply = await this.ask(target, replicaId);
      if (reply?.ok === true) return;
      this.leaderId = reply?.leaderId === target ? undefined : reply?.leaderId;
      if (this.leaderId === undefined) return;
    }
  }

  private randomHostId(): string | undefined {
    const hostIds = this.parts.otherHostIds();
    return hostIds[Math.floor(this.parts.random() * hostIds.length)];
  }

  private async ask(hostId: string, replicaId: string): Promise<LeaderReply | undefined> {
    const { peers, groupId } = this.parts;
    const sent = await peers.request(hostId, (client, signal) =>
      client.consensus.join.mutate({ groupId, replicaId }, { signal }),
    );
    return sent.isOk() ? sent.value : undefined;
  }
}
