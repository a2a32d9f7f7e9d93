import { Command, Option } from 'clipanion';

import { checkStorage, type GroupCheck } from './storageCheck.js';

const damagedExitStatus = 2;

function formatCheck({ groupId, result }: GroupCheck): string {
  if (result.isErr()) return `group ${groupId}: ${result.error.code} ${result.error.detail}\n`;
  const { state, incarnation, term, snapshotIndex, lastIndex, tornBytes } = result.value;
  const log = `term ${term}, snapshot ${snapshotIndex}, last entry ${lastIndex}`;
  const torn = tornBytes > 0 ? `, torn write of ${tornBytes} bytes at the end` : '';
  return `group ${groupId}: ${state}, replica ${incarnation}, ${log}${torn}\n`;
}

/** Verifies the data folder of a host that does not run. */
export class StorageCheckCommand extends Command {
  static override paths = [['storage-check']];

  static override usage = Command.Usage({
    description: 'Verify the data folder of a stopped host; changes nothing.',
    details: 'Prints what each group holds. Exit status 0: all in order; 2: damaged or missing.',
    examples: [['Check a folder', 'buckthornlug storage-check --data /var/lib/buckthornlug']],
  });

  readonly data = Option.String('--data', { required: true, description: 'Data folder.' });

  async execute(): Promise<number> {
    const checks = await checkStorage(this.data);
    for (const check of checks) this.context.stdout.write(formatCheck(check));
    if (checks.length > 0 && checks.every(({ result }) => result.isOk())) return 0;
    if (checks.length === 0) this.context.stdout.write(`no group in ${this.data}\n`);
    return damagedExitStatus;
  }
}
