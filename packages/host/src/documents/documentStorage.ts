import type { ControlUpdate } from '@buckthornlug/core/spreading/spreadingTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';
import { readDocumentFile, writeDocumentFile } from './documentFile.js';

/** Keeps the last document in the data folder; writes that are due at once become one. */
export class DocumentStorage {
  private writing: Promise<void> | undefined;

  /** Told when the next write has ended. */
  private waiters: (() => void)[] = [];

  /**
   * @param context - context of the host
   * @param dataFolder - data folder; nothing is kept where absent
   * @param read - gives everything that is to be kept
   */
  constructor(
    private readonly context: HostContext,
    private readonly dataFolder: string | undefined,
    private readonly read: () => ControlUpdate,
  ) {}

  /** The document kept by a former process, if there is a whole one. */
  async load(): Promise<ControlUpdate | undefined> {
    if (this.dataFolder === undefined) return undefined;
    const stored = await readDocumentFile(this.dataFolder);
    if (stored.isOk()) return stored.value;
    this.report(stored.error.code, stored.error.detail);
    return undefined;
  }

  /**
   * Has the newest state written.
   *
   * @returns resolves when it is synced or could not be written; undefined where nothing is kept
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

  /** Resolves when everything due is written. */
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
