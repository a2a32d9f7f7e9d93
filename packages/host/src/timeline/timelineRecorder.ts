import { createEventRing } from '@buckthornlug/core/timeline/eventRing.js';
import { observeHybridTime, tickHybridClock } from '@buckthornlug/core/timeline/hybridClock.js';
import type {
  EventInput,
  HybridTime,
  TimelineEvent,
} from '@buckthornlug/protocol/events/eventSchema.js';

/** Process whose events a recorder holds; these fields are added to each event. */
export interface RecorderIdentity {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
}

/** Events of this process and its hybrid clock. */
export interface TimelineRecorder {
  readonly record: (event: EventInput) => void;
  /** Events still held with a sequence number above the given one. */
  readonly read: (afterSequence: number) => TimelineEvent[];
  /** Number of events that newer ones have overwritten. */
  readonly dropped: () => number;
  /** Advances the clock and returns the reading to send with a message. */
  readonly readClock: () => HybridTime;
  /** Advances the clock past the reading received with a message. */
  readonly observeClock: (remote: HybridTime) => void;
}

/**
 * Creates the recorder of a process.
 *
 * @param capacity - largest number of events held
 * @param wallMs - reads the wall time in milliseconds
 */
export function createTimelineRecorder(
  identity: RecorderIdentity,
  capacity: number,
  wallMs: () => number,
): TimelineRecorder {
  const ring = createEventRing(capacity);
  let clock: HybridTime = { wallMs: 0, counter: 0 };
  let sequence = 0;
  return {
    record: (event) => {
      clock = tickHybridClock(clock, wallMs());
      sequence += 1;
      ring.add({ ...identity, detail: {}, ...event, at: clock, sequence });
    },
    read: (afterSequence) => ring.read(afterSequence),
    dropped: () => ring.dropped(),
    readClock: () => {
      clock = tickHybridClock(clock, wallMs());
      return clock;
    },
    observeClock: (remote) => {
      clock = observeHybridTime(clock, remote, wallMs());
    },
  };
}
