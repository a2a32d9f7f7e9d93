import { writeFile } from 'node:fs/promises';

import { Command, Option } from 'clipanion';

import { fetchDocument } from '../api/fetchDocument.js';
import { AdminCommand } from './adminCommand.js';

/** Prints or saves the document in force. */
export class DocumentGetCommand extends AdminCommand {
  static override paths = [['document', 'get']];

  static override usage = Command.Usage({
    description: 'Get the document in force, with the versions of its sections.',
    examples: [['Save it for editing', 'buckthornlugctl document get --out steering.json']],
  });

  out = Option.String('--out', { description: 'File to write.' });

  async execute(): Promise<number> {
    const document = await fetchDocument(this.client());
    if (document.isErr()) return this.printFailure(document.error);
    const text = JSON.stringify(document.value, null, 2);
    if (this.out === undefined) this.context.stdout.write(`${text}\n`);
    else await writeFile(this.out, `${text}\n`);
    return 0;
  }
}
