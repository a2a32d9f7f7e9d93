import type { ControlUpdate } from '@buckthornlug/core/spreading/spreadingTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';
import { readDocumentFile, writeDocumentFile } from './documentFile.js';

/** Keeps the last document in the data folder; writes that are due at once become one. */
export class DocumentKeeper {
  private writing: Promise<void> | undefined;

  private isDue = false;

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
    const kept = await readDocumentFile(this.dataFolder);
    if (kept.isOk()) return kept.value;
    this.report(kept.error.code, kept.error.detail);
    return undefined;
  }

  /** Has the newest state written soon. */
  save(): void {
    if (this.dataFolder === undefined) return;
    this.isDue = true;
    this.writing ??= this.writeAll(this.dataFolder).finally(() => {
      this.writing = undefined;
    });
  }

  /** Resolves when everything due is written. */
  async settle(): Promise<void> {
    await this.writing;
  }

  private async writeAll(dataFolder: string): Promise<void> {
    while (this.isDue) {
      this.isDue = false;
      const written = await writeDocumentFile(dataFolder, this.read());
      if (written.isErr()) this.report(written.error.code, written.error.detail);
    }
  }

  private report(code: string, detail: string): void {
    this.context.record({ kind: 'storageFault', code, detail: { file: 'documents/last.json' } });
    this.context.log.error('storageFault', { code, detail });
  }
}
