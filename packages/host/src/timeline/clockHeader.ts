import { parseHybridTime } from '@buckthornlug/core/timeline/hybridClock.js';

import type { TimelineRecorder } from './timelineRecorder.js';

/**
 * Advances the hybrid clock by the clock header of a received message, if it has a valid one.
 *
 * @param value - value of the header field
 */
export function observeClockHeader(
  timeline: Pick<TimelineRecorder, 'observeClock'>,
  value: string | readonly string[] | undefined,
): void {
  if (typeof value !== 'string') return;
  const remote = parseHybridTime(value);
  if (remote !== undefined) timeline.observeClock(remote);
}
