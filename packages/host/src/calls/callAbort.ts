import type { ServerResponse } from 'node:http';

import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';

import { CallAborted } from './callAborted.js';
import { CallController } from './callController.js';

/** Ends the work on a call when its caller hangs up or its deadline passes. */
export interface CallAbort {
  readonly signal: CallSignal;
  /** Stops watching; to be called when the call has ended. */
  readonly dispose: () => void;
}

/**
 * Watches a call.
 *
 * @param response - answer to the call
 * @param timeLeftMs - time until the deadline
 * @param abortsOnDisconnect - whether the work is given up when the caller hangs up
 */
export function watchForAbort(
  response: ServerResponse,
  timeLeftMs: number,
  abortsOnDisconnect: boolean,
): CallAbort {
  const controller = new CallController();
  const onClose = () => {
    if (!response.writableFinished) controller.abort(new CallAborted('cancelled'));
  };
  const timer = setTimeout(
    () => controller.abort(new CallAborted('timedOut')),
    Math.max(0, timeLeftMs),
  );
  if (abortsOnDisconnect) response.once('close', onClose);
  return {
    signal: controller,
    dispose: () => {
      clearTimeout(timer);
      response.off('close', onClose);
    },
  };
}
