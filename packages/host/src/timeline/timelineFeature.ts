import { okAsync } from 'neverthrow';

import type { Feature } from '../runtime/hostParts.js';
import { listOtherHosts } from '../runtime/listOtherHosts.js';
import { registerTimelineRoutes } from './timelineRoutes.js';
import type { TimelinePart, TimelineRead } from './timelineSchema.js';

/** Timeline of this host and, through the administration API, of all hosts. */
export const timelineFeature: Feature = {
  name: 'timeline',
  isEnabled: () => true,
  start: (context, parts) => {
    const { timeline, settings } = context;
    const read = (request: TimelineRead): TimelinePart => ({
      hostId: settings.hostId,
      droppedEvents: timeline.dropped(),
      events: timeline.read(request.afterSequence),
    });
    parts.rpcHandlers.timeline = { read };
    parts.adminRoutes.push((app) =>
      registerTimelineRoutes(app, {
        readLocal: () => read({ afterSequence: 0 }),
        otherHosts: () => listOtherHosts(parts.membership, context.settings),
        readRemote: (hostId) =>
          parts.peers.request(hostId, (client, signal) =>
            client.timeline.read.query({ afterSequence: 0 }, { signal }),
          ),
      }),
    );
    return okAsync({ name: 'timeline', stopSteps: {} });
  },
};
