import { Command, Option } from 'clipanion';

import { AdminCommand } from './adminCommand.js';
import { readDocumentFile } from './documentFile.js';

/** Checks a document file without sending it. */
export class DocumentCheckCommand extends AdminCommand {
  static override paths = [['document', 'check']];

  static override usage = Command.Usage({
    description: 'Check a document file; lists every fault with its path.',
    examples: [['Check before submitting', 'buckthornlugctl document check steering.json']],
  });

  file = Option.String({ required: true });

  async execute(): Promise<number> {
    const document = await readDocumentFile(this.file);
    return this.finish(
      document.map(() => ({ valid: true })),
      () => `${this.file} is valid.`,
    );
  }
}
