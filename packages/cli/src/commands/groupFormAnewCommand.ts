import { signFormAnewRequest } from '@buckthornlug/core/submissions/formAnewSignature.js';
import {
  formationReplySchema,
  type FormAnewBody,
} from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { Command, Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';

import { postUntilOutcomeKnown } from '../api/postUntilOutcomeKnown.js';
import { AdminCommand } from './adminCommand.js';
import { readSecretFile } from './secretFile.js';

/** Allows a group whose state is lost on all disks to be formed again. */
export class GroupFormAnewCommand extends AdminCommand {
  static override paths = [['group', 'form-anew']];

  static override usage = Command.Usage({
    description: 'Allow a group whose state is lost to be formed again, without that state.',
    details: `
      A ledger group loses the identities of past calls: work that is resent under one of them may
      run again. The control group loses the document; address the first of its members by name.
      The request is signed by a team that owns every section. A request for the control group, or
      one before the first document, is signed with a cluster key.
      The command prints which formation is given up. If the answer was lost, repeat the command
      with the same --lost-id: it gets the first answer again, and gives up no later formation.
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
    description: 'Formation that is given up; by default the one that the group reports.',
  });

  async execute(): Promise<number> {
    const path = `/v1/groups/${encodeURIComponent(this.groupId)}`;
    const lostId = await this.findLostId(path);
    if (lostId.isErr()) return this.printFailure(lostId.error);
    const secret = await readSecretFile(this.secretFile);
    if (secret.isErr()) return this.printFailure(secret.error);
    if (!this.json) this.context.stdout.write(`gives up ${lostId.value}\n`);
    const signed = signFormAnewRequest(this.body(lostId.value), secret.value);
    const answer = await postUntilOutcomeKnown(this.client(), `${path}/form-anew`, signed);
    return this.finish(answer, () => `${this.groupId} may be formed anew.`);
  }

  private body(lostId: string): FormAnewBody {
    const { groupId, team, keyId } = this;
    return { request: 'formAnew', team, keyId, groupId, lostId, acceptLoss: true };
  }

  /** Finds the current formation of the group, or the last one given up if it is not formed yet. */
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
