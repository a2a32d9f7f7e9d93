import { Command } from 'clipanion';

import { invalidInputExitCode, SettingsCommand } from './settingsCommand.js';

/** `buckthornlug check`: checks a settings file without starting a host. */
export class CheckCommand extends SettingsCommand {
  static override readonly paths = [['check']];

  static override readonly usage = Command.Usage({
    description: 'Checks a settings file.',
    examples: [['Check a file', 'buckthornlug check --settings host.json']],
  });

  async execute(): Promise<number> {
    const loaded = await this.load();
    if (loaded.isErr()) return invalidInputExitCode;
    this.context.stdout.write(`${this.settings}: valid\n`);
    return 0;
  }
}
