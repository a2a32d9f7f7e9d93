import { Command, Option } from 'clipanion';

import { waitForVoter } from '../api/changeReplicas.js';
import { formatReplicas, GroupReplicaCommand } from './groupReplicaCommand.js';

const defaultWaitMs = 30_000;

/** Adds a host to a group. */
export class GroupAddReplicaCommand extends GroupReplicaCommand {
  static override paths = [['group', 'add-replica']];

  static override usage = Command.Usage({
    description: 'Add a replica on a host that is new to a group, and wait until it counts.',
    details: `
      The host must run with its own name among the members of the group in its settings, and with
      an empty data folder. The replica counts in the majority once it holds what is committed.
      A command that lost its answer may be repeated.
    `,
    examples: [
      [
        'After a host was lost',
        'buckthornlugctl group add-replica control abuja-b-1 --key cluster-1 --secret-file key.txt',
      ],
    ],
  });

  waitMs = Option.String('--wait-ms', String(defaultWaitMs), {
    description: 'Longest wait in milliseconds until the replica counts.',
  });

  async execute(): Promise<number> {
    const changed = await this.change('add');
    if (changed.isErr()) return this.refuse(changed.error);
    const { groupId, hostId, waitMs } = this;
    const replicas = await waitForVoter(this.client(), groupId, hostId, Number(waitMs));
    return this.finish(replicas, formatReplicas);
  }
}
