import { Command, Option } from 'clipanion';

import { startHost } from '../runtime/hostRuntime.js';
import { invalidInputExitCode, formatFailure, SettingsCommand } from './settingsCommand.js';

const startFailedExitCode = 1;

/** Resolves on SIGTERM or SIGINT. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

/** `buckthornlug run`: runs a host until SIGTERM or SIGINT. */
export class RunCommand extends SettingsCommand {
  static override readonly paths = [['run']];

  static override readonly usage = Command.Usage({
    description: 'Runs a host until SIGTERM or SIGINT, then stops it gracefully.',
    examples: [
      ['Run a host', 'buckthornlug run --settings host.json'],
      ['Only check the settings', 'buckthornlug run --settings host.json --check'],
    ],
  });

  readonly check = Option.Boolean('--check', false, { description: 'Only checks the settings.' });

  async execute(): Promise<number> {
    const loaded = await this.load();
    if (loaded.isErr()) return invalidInputExitCode;
    if (this.check) {
      this.context.stdout.write(`${this.settings}: valid\n`);
      return 0;
    }
    const stopSignal = waitForStopSignal();
    const started = await startHost(loaded.value);
    if (started.isErr()) {
      this.context.stderr.write(formatFailure(started.error));
      return startFailedExitCode;
    }
    await stopSignal;
    await started.value.stop();
    return 0;
  }
}
