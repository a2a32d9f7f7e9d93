import { summarizeChange } from '@buckthornlug/core/changes/changes.js';
import { Command, Option } from 'clipanion';

import { fetchDocument } from '../api/fetchDocument.js';
import { formatChange } from '../output/changeText.js';
import { AdminCommand } from './adminCommand.js';
import { readDocumentFile } from './documentFile.js';

/** Shows what a document file would change. */
export class DocumentDiffCommand extends AdminCommand {
  static override paths = [['document', 'diff']];

  static override usage = Command.Usage({
    description: 'Show which sections a file changes and which traffic moves, under the caps.',
    examples: [['Before a drain', 'buckthornlugctl document diff steering.json']],
  });

  file = Option.String({ required: true });

  async execute(): Promise<number> {
    const edited = await readDocumentFile(this.file);
    if (edited.isErr()) return this.printFailure(edited.error);
    const current = await fetchDocument(this.client());
    return this.finish(
      current.map((document) => summarizeChange(document, edited.value)),
      formatChange,
    );
  }
}
