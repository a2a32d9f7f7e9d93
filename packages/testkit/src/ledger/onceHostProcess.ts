import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { ManagedProcess } from '../processes/managedProcess.js';

const programPath = fileURLToPath(new URL('../../../host/dist/main.js', import.meta.url));

/** A host of the rounds that run once-only work, with its settings. */
export class OnceHostProcess extends ManagedProcess {
  /**
   * @param settings - settings of the host
   * @param settingsPath - file that they are written to
   */
  constructor(
    readonly settings: Settings,
    settingsPath: string,
  ) {
    super({
      args: [programPath, 'run', '--settings', settingsPath],
      ...(settings.dataFolder === undefined ? {} : { dataFolder: settings.dataFolder }),
      writeSettings: () =>
        writeFile(settingsPath, JSON.stringify({ ...settings, logLevel: 'info' })),
    });
  }
}
