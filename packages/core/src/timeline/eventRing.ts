import type { TimelineEvent } from '@buckthornlug/protocol/events/eventSchema.js';

/** Ring buffer of the most recent events of a process. */
export interface EventRing {
  readonly add: (event: TimelineEvent) => void;
  /**
   * Reads the events in the buffer, oldest first.
   *
   * @param afterSequence - events up to this sequence number are left out
   */
  readonly read: (afterSequence: number) => TimelineEvent[];
  /** Number of events that were overwritten. */
  readonly dropped: () => number;
}

/**
 * Creates an empty ring.
 *
 * @param capacity - largest number of events held
 */
export function createEventRing(capacity: number): EventRing {
  const slots: TimelineEvent[] = [];
  let added = 0;
  return {
    add: (event) => {
      slots[added % capacity] = event;
      added += 1;
    },
    read: (afterSequence) => {
      const events: TimelineEvent[] = [];
      for (let index = Math.max(0, added - capacity); index < added; index += 1) {
        const event = slots[index % capacity];
        if (event !== undefined && event.sequence > afterSequence) events.push(event);
      }
      return events;
    },
    dropped: () => Math.max(0, added - capacity),
  };
}
