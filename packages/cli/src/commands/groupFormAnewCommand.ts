import { Command, Option } from 'clipanion';

import { AdminCommand } from './adminCommand.js';

/** Lets a group that lost all its disks be formed anew. */
export class GroupFormAnewCommand extends AdminCommand {
  static override paths = [['group', 'form-anew']];

  static override usage = Command.Usage({
    description: 'Let a group whose state is lost be formed anew, without that state.',
    details: `
      A ledger group forgets its identities: work that is sent again under one of them may run
      again. The control group forgets the document; ask the first of its members by name.
    `,
    examples: [
      ['After every disk was lost', 'buckthornlugctl group form-anew ledger-1 --accept-loss'],
    ],
  });

  groupId = Option.String({ required: true });

  acceptLoss = Option.Boolean('--accept-loss', {
    required: true,
    description: 'The state of the group is given up.',
  });

  async execute(): Promise<number> {
    const path = `/v1/groups/${encodeURIComponent(this.groupId)}/form-anew`;
    const answer = await this.client().post(path, { acceptLoss: this.acceptLoss });
    return this.finish(answer, () => `${this.groupId} may be formed anew.`);
  }
}
