import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';

import { CallAborted } from './callAborted.js';
import { CallController } from './callController.js';

/** Abort of one attempt, which follows that of the call. */
export class AttemptAbort {
  private readonly controller = new CallController();

  /** Aborted with the call, or when another attempt answers. */
  readonly signal: CallSignal = this.controller;

  constructor(private readonly callSignal: CallSignal) {
    if (callSignal.aborted) this.onCallAborted();
    else callSignal.addEventListener('abort', this.onCallAborted);
  }

  /** Ends the attempt since another one answers. */
  abortAsOutpaced(): void {
    this.controller.abort(new CallAborted('outpaced'));
  }

  /** Stops following the call. */
  dispose(): void {
    this.callSignal.removeEventListener('abort', this.onCallAborted);
  }

  private readonly onCallAborted = (): void => {
    this.controller.abort(this.callSignal.reason as CallAborted);
  };
}
