import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import { CallAborted } from '../calls/callAborted.js';
import type { RoutedCall } from './routedCallsTypes.js';

/** How routed calls meet a planned stop of the host. */

/** Retry delay of calls that another host, or a less busy connection, can take at once. */
export const immediateRetryAfterMs = 50;

/** Whether this host may take or dispatch a call; false if it is stopping and could end before the call. */
export type MayTakeRoutedCall = (call: Pick<RoutedCall, 'route' | 'deadlineAtMs'>) => boolean;

/** Failure of a call that was not sent, since the host is stopping. */
export function stoppingFailure(): Failure {
  return failure('BL3016', 'the host is stopping', { retryAfterMs: immediateRetryAfterMs });
}

/** Whether a call was aborted because the host ends. */
export function isStoppedByHost({ signal }: Pick<RoutedCall, 'signal'>): boolean {
  return signal.reason instanceof CallAborted && signal.reason.result === 'stopping';
}
