import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';

import { loadSettings, readEnvironmentOverrides } from '../settings/loadSettings.js';

/** Exit code for invalid settings or arguments. */
export const invalidInputExitCode = 2;

/**
 * Formats a failure as text: the code, the detail and each fault with its path.
 *
 * @param problem - failure to describe
 */
export function formatFailure(problem: Failure): string {
  const lines = [`${problem.code} ${problem.detail}`];
  for (const fault of problem.faults ?? []) lines.push(`  ${fault.path}: ${fault.problem}`);
  return `${lines.join('\n')}\n`;
}

/** A command that reads a settings file, with the flags that override its fields. */
export abstract class SettingsCommand extends Command {
  readonly settings = Option.String('--settings', {
    required: true,
    description: 'Path of the settings file.',
  });

  readonly hostId = Option.String('--host-id', { description: 'Overrides hostId.' });

  readonly region = Option.String('--region', { description: 'Overrides region.' });

  readonly availabilityZone = Option.String('--availability-zone', {
    description: 'Overrides availabilityZone.',
  });

  readonly dataFolder = Option.String('--data-folder', { description: 'Overrides dataFolder.' });

  readonly logLevel = Option.String('--log-level', { description: 'Overrides logLevel.' });

  /** Loads the settings; prints every fault if they are invalid. */
  protected async load(): Promise<Result<Settings, Failure>> {
    const flags = {
      hostId: this.hostId,
      region: this.region,
      availabilityZone: this.availabilityZone,
      dataFolder: this.dataFolder,
      logLevel: this.logLevel,
    };
    const environment = readEnvironmentOverrides(process.env);
    const loaded = await loadSettings(this.settings, environment, flags);
    if (loaded.isErr()) this.context.stderr.write(formatFailure(loaded.error));
    return loaded;
  }
}
