import { signFormAnewRequest } from '@buckthornlug/core/submissions/formAnewSignature.js';
import {
  formationReplySchema,
  type FormAnewBody,
} from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { Command, Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';

import { postUntilKnown } from '../api/postUntilKnown.js';
import { AdminCommand } from './adminCommand.js';
import { readSecretFile } from './secretFile.js';

/** Lets a group that lost all its disks be formed anew. */
export class GroupFormAnewCommand extends AdminCommand {
  static override paths = [['group', 'form-anew']];

  static override usage = Command.Usage({
    description: 'Let a group whose state is lost be formed anew, without that state.',
    details: `
      A ledger group forgets its identities: work that is sent again under one of them may run
      again. The control group forgets the document; ask the first of its members by name.
      The request is signed by a team that owns every section; that for the control group, and any
      before the first document, with a cluster key.
      What is given up is printed; a command that lost its answer may be repeated with the same
      --lost-id, gets the first answer again, and gives up no later formation.
    `,
    examples: [
      [
        'After every disk was lost',
        'buckthornlugctl group form-anew ledger-1 --accept-loss --team platform --key platform-1 --secret-file key.txt',
      ],
    ],
  });

  groupId = Option.String({ required: true });

  acceptLoss = Option.Boolean('--accept-loss', {
    required: true,
    description: 'The state of the group is given up.',
  });

  team = Option.String('--team', { required: true, description: 'Team that owns every section.' });

  keyId = Option.String('--key', { required: true, description: 'Identity of the signing key.' });

  secretFile = Option.String('--secret-file', {
    required: true,
    description: 'File that holds the secret of the key.',
  });

  lostIdOption = Option.String('--lost-id', {
    description: 'What is given up; as the group shows it where absent.',
  });

  async execute(): Promise<number> {
    const path = `/v1/groups/${encodeURIComponent(this.groupId)}`;
    const lostId = await this.findLostId(path);
    if (lostId.isErr()) return this.refuse(lostId.error);
    const secret = await readSecretFile(this.secretFile);
    if (secret.isErr()) return this.refuse(secret.error);
    if (!this.json) this.context.stdout.write(`gives up ${lostId.value}\n`);
    const signed = signFormAnewRequest(this.body(lostId.value), secret.value);
    const answer = await postUntilKnown(this.client(), `${path}/form-anew`, signed);
    return this.finish(answer, () => `${this.groupId} may be formed anew.`);
  }

  private body(lostId: string): FormAnewBody {
    const { groupId, team, keyId } = this;
    return { request: 'formAnew', team, keyId, groupId, lostId, acceptLoss: true };
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
