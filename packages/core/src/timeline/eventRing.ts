import type { TimelineEvent } from '@buckthornlug/protocol/events/eventSchema.js';

/** The last events of a process, bounded in number. */
export interface EventRing {
  readonly add: (event: TimelineEvent) => void;
  /**
   * Reads the events that are still held, oldest first.
   *
   * @param afterSequence - events up to this number are left out
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
