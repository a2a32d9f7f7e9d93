import { timelineEventSchema } from '@buckthornlug/protocol/events/eventSchema.js';
import { z } from 'zod';

/** Request for the timeline of another host. */
export const timelineReadSchema = z.strictObject({
  afterSequence: z.int().min(0).default(0),
});

/** Events of one host. */
export const timelinePartSchema = z.strictObject({
  hostId: z.string(),
  droppedEvents: z.int().min(0),
  events: z.array(timelineEventSchema),
});

export type TimelineRead = z.infer<typeof timelineReadSchema>;
export type TimelinePart = z.infer<typeof timelinePartSchema>;
