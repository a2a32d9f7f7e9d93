import { Command } from 'clipanion';

import { formatReplicas, GroupReplicaCommand } from './groupReplicaCommand.js';

/** Removes the replica of a host from a group. */
export class GroupRemoveReplicaCommand extends GroupReplicaCommand {
  static override paths = [['group', 'remove-replica']];

  static override usage = Command.Usage({
    description: 'Remove the replica of a host from a group.',
    details: `
      Refused with BL5011 if no majority of the other replicas answers. The host may be lost or
      alive. If the answer was lost, the command may be repeated.
    `,
    examples: [
      [
        'A host that is lost for good',
        'buckthornlugctl group remove-replica control lagos-a-1 --key cluster-1 --secret-file key.txt',
      ],
    ],
  });

  async execute(): Promise<number> {
    return this.finish(await this.change('remove'), formatReplicas);
  }
}
