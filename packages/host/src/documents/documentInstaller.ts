import { setTimeout as delay } from 'node:timers/promises';

import type { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import type { ControlVersions } from '@buckthornlug/core/spreading/spreadingTypes.js';

import type { DocumentHolder } from '../runtime/documentHolder.js';
import type { DocumentInForce, HostContext } from '../runtime/hostTypes.js';

/** Longest wait for the disk before a newer version is put in force without being persisted. */
const maxPersistWaitMs = 1000;

/** Puts the newest document of the copy in force once it is persisted. */
export class DocumentInstaller {
  private isPaused = false;

  private lastInstall: Promise<void> = Promise.resolve();

  /**
   * @param document - holder of the document in force
   * @param copy - copy with the newest document
   * @param persist - writes the newest version; resolves once it is synced, undefined without a data
   *   folder
   */
  constructor(
    private readonly context: Pick<HostContext, 'record' | 'log' | 'metrics'>,
    private readonly document: Pick<DocumentHolder, 'current' | 'replaceIfNewer'>,
    private readonly copy: ControlCopy,
    private readonly persist: () => Promise<void> | undefined,
  ) {}

  /** Versions that this host may confirm: the document in force and the shift steps it holds. */
  versionsInForce(): ControlVersions {
    const { shiftRevision } = this.copy.versions();
    return { version: this.document.current()?.version ?? 0, shiftRevision };
  }

  /** Resolves when every document installed before the call is in force. */
  whenInstalled(): Promise<void> {
    return this.lastInstall;
  }

  /** Puts no document in force until `resume` is called. */
  pause(): void {
    this.isPaused = true;
  }

  resume(source: string, sections: number): void {
    this.isPaused = false;
    this.putInForce(this.newestDocument(), source, sections);
  }

  /**
   * Puts the newest version in force once it is persisted, so that a restart does not go back to an
   * older one.
   */
  install(source: string, sections: number): void {
    if (this.isPaused) return;
    const newestDocument = this.newestDocument();
    const persisted = this.persist();
    if (persisted === undefined) {
      this.putInForce(newestDocument, source, sections);
      return;
    }
    this.lastInstall = Promise.race([
      persisted,
      delay(maxPersistWaitMs, undefined, { ref: false }),
    ]).then(
      () => this.putInForce(newestDocument, source, sections),
      () => undefined,
    );
  }

  private newestDocument(): DocumentInForce {
    return {
      version: this.copy.versions().version,
      sectionVersions: this.copy.sectionVersions(),
      document: this.copy.document(),
    };
  }

  private putInForce(inForce: DocumentInForce, source: string, sections: number): void {
    const { version } = inForce;
    if (!this.document.replaceIfNewer(inForce)) return;
    this.context.record({ kind: 'documentInForce', version, detail: { source, sections } });
    this.context.log.info('documentInForce', { version, source, sections });
    this.context.metrics.gauge('document_version', version);
  }
}
