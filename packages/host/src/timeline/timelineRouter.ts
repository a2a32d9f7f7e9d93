import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { timelineReadSchema, type TimelinePart, type TimelineRead } from './timelineSchema.js';

/** What the time line answers to other hosts. */
export interface TimelineHandlers {
  readonly read: (request: TimelineRead) => TimelinePart;
}

/**
 * Builds the procedures of the time line.
 *
 * @param handlers - functions that answer
 */
export function createTimelineRouter(handlers: TimelineHandlers) {
  return rpcRouter({
    read: rpcProcedure.input(timelineReadSchema).query(({ input }) => handlers.read(input)),
  });
}
