import type { ServerResponse } from 'node:http';

import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';

import { CallAborted } from './callAborted.js';
import { CallController } from './callController.js';

/** Aborts the work on a call when its caller closes the connection or its deadline passes. */
export interface CallAbort {
  readonly signal: CallSignal;
  /** Removes the timer and the listener; must be called when the call has ended. */
  readonly dispose: () => void;
}

/**
 * Creates a signal that aborts a call at its deadline or when its caller disconnects.
 *
 * @param timeLeftMs - time until the deadline
 * @param abortsOnDisconnect - whether the call is also aborted when the caller closes the connection
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
