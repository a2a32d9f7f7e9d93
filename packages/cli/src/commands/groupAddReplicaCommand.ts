import { Command, Option } from 'clipanion';

import { repeatUntilReplicaRuns, waitForVoter } from '../api/changeReplicas.js';
import { formatReplicas, GroupReplicaCommand } from './groupReplicaCommand.js';

const defaultWaitMs = 30_000;

/** Adds a replica on a host to a group. */
export class GroupAddReplicaCommand extends GroupReplicaCommand {
  static override paths = [['group', 'add-replica']];

  static override usage = Command.Usage({
    description: 'Add a replica on a host that is new to a group, and wait until it is a voter.',
    details: `
      The settings of the host must list it among the members of the group, and its data folder must
      be empty. The replica becomes a voter once it holds all committed entries.
      If the answer was lost, the command may be repeated.
    `,
    examples: [
      [
        'After a host was lost',
        'buckthornlugctl group add-replica control abuja-b-1 --key cluster-1 --secret-file key.txt',
      ],
    ],
  });

  waitMs = Option.String('--wait-ms', String(defaultWaitMs), {
    description: 'Longest wait in milliseconds until the replica is a voter.',
  });

  async execute(): Promise<number> {
    const waitMs = Number(this.waitMs);
    const changed = await repeatUntilReplicaRuns(() => this.change('add'), waitMs);
    if (changed.isErr()) return this.printFailure(changed.error);
    const { groupId, hostId } = this;
    const replicas = await waitForVoter(this.client(), groupId, hostId, waitMs);
    return this.finish(replicas, formatReplicas);
  }
}
