import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { Random } from '../runtime/hostTypes.js';
import { isStoppedByHost, stoppingFailure } from './plannedStop.js';
import { addJitter, retryJitterFraction } from './retryJitter.js';
import type { RoutedCall } from './routedCallsTypes.js';
import type { FinalDecision } from './routedPools.js';

/** Calls that end before they are sent. */

/** Retry delay for a call that no backend server ran; the shortest one if none is available. */
export const notRunRetryAfterMs = 300;

/**
 * Whether nobody waits for the answer of a call any more. On a busy host the timer or the event that
 * tells so may run later than what it should prevent.
 */
export function hasEnded(call: RoutedCall, nowMs: number): boolean {
  return call.signal.aborted || call.hasCallerLeft() || nowMs >= call.deadlineAtMs;
}

/** Builds the failure of a call that its caller or its time limit aborted before it was sent. */
export function unsentCallFailure(call: RoutedCall): Failure {
  if (call.hasCallerLeft()) return failure('BL3017', 'the caller hung up');
  if (isStoppedByHost(call)) return stoppingFailure();
  return failure('BL3002', 'the time limit passed before the call was sent', {
    retryAfterMs: notRunRetryAfterMs,
  });
}

/** Builds the failure of a call that is turned away. */
export function turnAwayFailure(
  {
    reason,
    retryAfterMs: capacityExpectedInMs,
  }: Extract<FinalDecision, { readonly decision: 'turnAway' }>,
  random: Random,
): Failure {
  if (reason === 'noBackend') {
    // The time is known rather than estimated, so a caller that returned earlier would be refused again.
    const returnMs = Math.max(capacityExpectedInMs, notRunRetryAfterMs);
    const retryAfterMs = returnMs * (1 + retryJitterFraction * random());
    return failure('BL3003', 'no backend server can take the call', { retryAfterMs });
  }
  const options = { retryAfterMs: addJitter(capacityExpectedInMs, random) };
  if (reason === 'targetMissed') return failure('BL3002', 'the target cannot be met', options);
  if (reason === 'otherRegionFull') {
    return failure('BL3002', 'the regions for such calls cannot take them all', options);
  }
  return failure('BL3002', 'the time limit passed before the call was sent', options);
}
