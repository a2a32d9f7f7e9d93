import { createEventRing } from '@buckthornlug/core/timeline/eventRing.js';
import { observeHybridTime, tickHybridClock } from '@buckthornlug/core/timeline/hybridClock.js';
import type {
  EventInput,
  HybridTime,
  TimelineEvent,
} from '@buckthornlug/protocol/events/eventSchema.js';

/** Whose events a recorder keeps. */
export interface RecorderIdentity {
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
}

/** The events of this process and its hybrid clock. */
export interface TimelineRecorder {
  readonly record: (event: EventInput) => void;
  /** Events still held whose number is larger. */
  readonly read: (afterSequence: number) => TimelineEvent[];
  readonly dropped: () => number;
  /** Reading to send with a message. */
  readonly readClock: () => HybridTime;
  /** Takes in the reading that came with a message. */
  readonly observeClock: (remote: HybridTime) => void;
}

/**
 * Creates the recorder of a process.
 *
 * @param identity - host, zone and incarnation that each event carries
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
