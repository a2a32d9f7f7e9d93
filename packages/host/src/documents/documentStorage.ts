import type { ControlUpdate } from '@buckthornlug/core/spreading/spreadingTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';
import { readDocumentFile, writeDocumentFile } from './documentFile.js';

/** Persists the newest document in the data folder; saves requested during a write are combined. */
export class DocumentStorage {
  private writing: Promise<void> | undefined;

  /** Called when the next write has ended. */
  private waiters: (() => void)[] = [];

  /**
   * @param dataFolder - data folder; without one, nothing is stored
   * @param read - returns the full update to store
   */
  constructor(
    private readonly context: HostContext,
    private readonly dataFolder: string | undefined,
    private readonly read: () => ControlUpdate,
  ) {}

  /** Loads the document that an earlier process stored; undefined if there is no intact file. */
  async load(): Promise<ControlUpdate | undefined> {
    if (this.dataFolder === undefined) return undefined;
    const stored = await readDocumentFile(this.dataFolder);
    if (stored.isOk()) return stored.value;
    this.report(stored.error.code, stored.error.detail);
    return undefined;
  }

  /**
   * Writes the newest state.
   *
   * @returns resolves when it is synced or could not be written; undefined without a data folder
   */
  save(): Promise<void> | undefined {
    const { dataFolder } = this;
    if (dataFolder === undefined) return undefined;
    return new Promise((resolve) => {
      this.waiters.push(resolve);
      this.writing ??= this.writePending(dataFolder).finally(() => {
        this.writing = undefined;
      });
    });
  }

  /** Waits for the write in progress and the requested ones. */
  async drain(): Promise<void> {
    await this.writing;
  }

  private async writePending(dataFolder: string): Promise<void> {
    while (this.waiters.length > 0) {
      const { waiters } = this;
      this.waiters = [];
      const written = await writeDocumentFile(dataFolder, this.read());
      if (written.isErr()) this.report(written.error.code, written.error.detail);
      for (const resolve of waiters) resolve();
    }
  }

  private report(code: string, detail: string): void {
    this.context.record({ kind: 'storageFault', code, detail: { file: 'documents/last.json' } });
    this.context.log.error('storageFault', { code, detail });
  }
}
