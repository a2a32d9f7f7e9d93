import { rpcProcedure, rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { timelineReadSchema, type TimelinePart, type TimelineRead } from './timelineSchema.js';

/** Handlers of the `timeline` procedures. */
export interface TimelineHandlers {
  readonly read: (request: TimelineRead) => TimelinePart;
}

/** Procedures that read the timeline of a host. */
export function createTimelineRouter(handlers: TimelineHandlers) {
  return rpcRouter({
    read: rpcProcedure.input(timelineReadSchema).query(({ input }) => handlers.read(input)),
  });
}
