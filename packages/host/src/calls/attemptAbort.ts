import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';

import { CallAborted } from './callAborted.js';
import { CallController } from './callController.js';

/** Aborts one attempt, also when its whole call is aborted. */
export class AttemptAbort {
  private readonly controller = new CallController();

  /** Aborted when the call is aborted or another attempt answers first. */
  readonly signal: CallSignal = this.controller;

  constructor(private readonly callSignal: CallSignal) {
    if (callSignal.aborted) this.onCallAborted();
    else callSignal.addEventListener('abort', this.onCallAborted);
  }

  /** Aborts the attempt because another one answered first. */
  abortAsOutpaced(): void {
    this.controller.abort(new CallAborted('outpaced'));
  }

  /** Stops listening to the abort of the call. */
  dispose(): void {
    this.callSignal.removeEventListener('abort', this.onCallAborted);
  }

  private readonly onCallAborted = (): void => {
    this.controller.abort(this.callSignal.reason as CallAborted);
  };
}
