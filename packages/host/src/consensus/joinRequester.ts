import { sample } from '@buckthornlug/core/membership/sampling.js';

import type { PeerClients } from '../rpc/peerClients.js';
import type { Random } from '../runtime/hostTypes.js';
import type { LeaderReply } from './consensusSchema.js';

/**
 * Asks the leader of a group to add a replica. Only the leader can, so a few random hosts are asked who
 * leads, and then the leader alone. When dozens of control hosts start together, requests of each to all
 * the others would exceed all other traffic between regions.
 */

/** Hosts asked at a time while no leader is known; some of them may be out of reach. */
const hostsPerSearch = 3;

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

  /** Finds the leader if it is not known, and asks it; does nothing else while there is none. */
  async request(replicaId: string): Promise<void> {
    this.leaderId ??= await this.findLeader(replicaId);
    if (this.leaderId === undefined) return;
    const reply = await this.ask(this.leaderId, replicaId);
    if (reply?.ok !== true) this.leaderId = undefined;
  }

  /** The leader according to the first of some hosts that knows one. */
  private async findLeader(replicaId: string): Promise<string | undefined> {
    const hostIds = sample(this.parts.otherHostIds(), hostsPerSearch, this.parts.random);
    const answers = hostIds.map(async (hostId) => {
      const reply = await this.ask(hostId, replicaId);
      const leaderId = reply?.ok === true ? hostId : reply?.leaderId;
      if (leaderId === undefined) throw new Error(`"${hostId}" names no leader`);
      return leaderId;
    });
    return Promise.any(answers).catch(() => undefined);
  }

  private async ask(hostId: string, replicaId: string): Promise<LeaderReply | undefined> {
    const { peers, groupId } = this.parts;
    const sent = await peers.request(hostId, (client, signal) =>
      client.consensus.join.mutate({ groupId, replicaId }, { signal }),
    );
    return sent.isOk() ? sent.value : undefined;
  }
}
