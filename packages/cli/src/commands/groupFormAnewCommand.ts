import { formationReplySchema } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { Command, Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';

import { postUntilKnown } from '../api/postUntilKnown.js';
import { AdminCommand } from './adminCommand.js';

/** Lets a group that lost all its disks be formed anew. */
export class GroupFormAnewCommand extends AdminCommand {
  static override paths = [['group', 'form-anew']];

  static override usage = Command.Usage({
    description: 'Let a group whose state is lost be formed anew, without that state.',
    details: `
      A ledger group forgets its identities: work that is sent again under one of them may run
      again. The control group forgets the document; ask the first of its members by name.
      What is given up is printed; a command that lost its answer may be repeated with the same
      --lost-id, gets the first answer again, and gives up no later formation.
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

  lostIdOption = Option.String('--lost-id', {
    description: 'What is given up; as the group shows it where absent.',
  });

  async execute(): Promise<number> {
    const path = `/v1/groups/${encodeURIComponent(this.groupId)}`;
    const lostId = await this.findLostId(path);
    if (lostId.isErr()) return this.refuse(lostId.error);
    if (!this.json) this.context.stdout.write(`gives up ${lostId.value}\n`);
    const body = { groupId: this.groupId, lostId: lostId.value, acceptLoss: this.acceptLoss };
    const answer = await postUntilKnown(this.client(), `${path}/form-anew`, body);
    return this.finish(answer, () => `${this.groupId} may be formed anew.`);
  }

  /** What the group was formed as, or what was given up last where it is not formed yet. */
  private async findLostId(path: string): Promise<Result<string, Failure>> {
    if (this.lostIdOption !== undefined) return ok(this.lostIdOption);
    const answer = await this.client().get(`${path}/formation`);
    return answer.andThen((value) => {
      const { lostId, givenUpIds } = formationReplySchema.parse(value);
      const found = lostId ?? givenUpIds.at(-1);
      if (found !== undefined) return ok(found);
      return err(failure('BL5009', `"${this.groupId}" was never formed`));
    });
  }
}
