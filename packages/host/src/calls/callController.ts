import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';

import type { CallAborted } from './callAborted.js';

/**
 * Aborts the work on one call. Works like an `AbortController`, without the cost of an event target for
 * each call.
 */
export class CallController implements CallSignal {
  aborted = false;

  reason: CallAborted | undefined;

  private listeners: readonly (() => void)[] = [];

  /**
   * Aborts the work; later aborts have no effect.
   */
  abort(reason: CallAborted): void {
    if (this.aborted) return;
    this.aborted = true;
    this.reason = reason;
    const { listeners } = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }

  addEventListener(_type: 'abort', listener: () => void): void {
    if (!this.aborted) this.listeners = [...this.listeners, listener];
  }

  removeEventListener(_type: 'abort', listener: () => void): void {
    this.listeners = this.listeners.filter((known) => known !== listener);
  }
}
