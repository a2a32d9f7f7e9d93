import { randomUUID } from 'node:crypto';

import { summarizeChange } from '@buckthornlug/core/changes/changes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import { Command, Option } from 'clipanion';
import { ok, type Result } from 'neverthrow';

import { buildSubmission } from '../api/buildSubmission.js';
import { fetchDocument } from '../api/fetchDocument.js';
import { sendSubmission, waitUntilInForce } from '../api/sendSubmission.js';
import { formatChange } from '../output/changeText.js';
import { AdminCommand } from './adminCommand.js';
import { readDocumentFile } from './documentFile.js';
import { readSecretFile } from './secretFile.js';

const defaultWaitMs = 30_000;

/** Submits an edited document. */
export class DocumentSubmitCommand extends AdminCommand {
  static override paths = [['document', 'submit']];

  static override usage = Command.Usage({
    description: 'Submit an edited document: only the sections that differ are sent.',
    details: `
      The file keeps the versions it was edited from in \`base\`; a section that others
      have changed since then is refused with BL2005. If the answer was lost, repeat the command
      with the same --submission-id: it gets the first answer again.
    `,
    examples: [
      [
        'Submit and wait until it is in force',
        'buckthornlugctl document submit steering.json --team platform --key platform-1 --secret-file key.txt --wait',
      ],
      [
        'Only show what it will do',
        'buckthornlugctl document submit steering.json --team platform --key platform-1 --secret-file key.txt --dry-run',
      ],
    ],
  });

  file = Option.String({ required: true });

  team = Option.String('--team', { required: true, description: 'Team that submits.' });

  keyId = Option.String('--key', { required: true, description: 'Identity of the signing key.' });

  secretFile = Option.String('--secret-file', {
    required: true,
    description: 'File that holds the secret of the key.',
  });

  submissionId = Option.String('--submission-id', {
    description: 'Identity of the submission; a new one if absent.',
  });

  wait = Option.Boolean('--wait', false, { description: 'Wait until it is in force everywhere.' });

  waitMs = Option.String('--wait-ms', String(defaultWaitMs), {
    description: 'Longest wait in milliseconds.',
  });

  dryRun = Option.Boolean('--dry-run', false, { description: 'Show the change, send nothing.' });

  /** Reads the document in force; undefined before the first submission. */
  private async readCurrent(): Promise<Result<SteeringDocument | undefined, Failure>> {
    const current = await fetchDocument(this.client());
    if (current.isErr() && current.error.code === 'BL2010') return ok(undefined);
    return current;
  }

  private showChange(current: SteeringDocument | undefined, edited: SteeringDocument): void {
    if (this.json) return;
    const text =
      current === undefined
        ? 'The first document.'
        : formatChange(summarizeChange(current, edited));
    this.context.stdout.write(`${text}\n`);
  }

  private async send(submission: Submission): Promise<number> {
    const reply = await sendSubmission(this.client(), submission);
    if (reply.isErr()) return this.printFailure(reply.error);
    if (!this.wait) return this.finish(reply, ({ version }) => `accepted as version ${version}`);
    const status = await waitUntilInForce(this.client(), reply.value.version, Number(this.waitMs));
    return this.finish(status, ({ version }) => `version ${version} is in force everywhere`);
  }

  async execute(): Promise<number> {
    const edited = await readDocumentFile(this.file);
    if (edited.isErr()) return this.printFailure(edited.error);
    const secret = await readSecretFile(this.secretFile);
    if (secret.isErr()) return this.printFailure(secret.error);
    const current = await this.readCurrent();
    if (current.isErr()) return this.printFailure(current.error);
    this.showChange(current.value, edited.value);
    const submission = buildSubmission(current.value, edited.value, {
      submissionId: this.submissionId ?? randomUUID(),
      team: this.team,
      keyId: this.keyId,
      secret: secret.value,
    });
    if (this.dryRun || Object.keys(submission.sections).length === 0) return 0;
    return this.send(submission);
  }
}
