import { parseHybridTime } from '@buckthornlug/core/timeline/hybridClock.js';

import type { TimelineRecorder } from './timelineRecorder.js';

/**
 * Takes in the clock of a received message, if it carries one.
 *
 * @param timeline - clock of this process
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
