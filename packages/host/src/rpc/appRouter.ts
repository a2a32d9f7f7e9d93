import { rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { createConsensusRouter, type ConsensusHandlers } from '../consensus/consensusRouter.js';
import {
  createSubmissionsRouter,
  type SubmissionsHandlers,
} from '../submissions/submissionsRouter.js';
import { lateHandlers } from './lateHandlers.js';
import { createMetricsRouter, type MetricsHandlers } from '../metrics/metricsRouter.js';
import { createSlotsRouter, type SlotsHandlers } from '../slots/slotsRouter.js';
import { createTimelineRouter, type TimelineHandlers } from '../timeline/timelineRouter.js';
import { createDocumentsRouter, type DocumentsHandlers } from '../documents/documentsRouter.js';
import { createMembershipRouter, type MembershipHandlers } from '../membership/membershipRouter.js';
import { createRoutingRouter, type RoutingHandlers } from '../routing/routingRouter.js';
import { createPingRouter, type PingHandlers } from './pingRouter.js';

/** Handlers of all procedures between hosts; each feature sets its own when it starts. */
export interface RpcHandlers {
  documents: DocumentsHandlers;
  consensus: ConsensusHandlers;
  membership: MembershipHandlers;
  metrics: MetricsHandlers;
  ping: PingHandlers;
  routing: RoutingHandlers;
  slots: SlotsHandlers;
  submissions: SubmissionsHandlers;
  timeline: TimelineHandlers;
}

/**
 * Merges the routers of the features.
 *
 * @param handlers - handlers as far as their features have started
 */
export function createAppRouter(handlers: Partial<RpcHandlers>) {
  return rpcRouter({
    documents: createDocumentsRouter(lateHandlers(() => handlers.documents)),
    consensus: createConsensusRouter(lateHandlers(() => handlers.consensus)),
    membership: createMembershipRouter(lateHandlers(() => handlers.membership)),
    metrics: createMetricsRouter(lateHandlers(() => handlers.metrics)),
    routing: createRoutingRouter(lateHandlers(() => handlers.routing)),
    slots: createSlotsRouter(lateHandlers(() => handlers.slots)),
    submissions: createSubmissionsRouter(lateHandlers(() => handlers.submissions)),
    timeline: createTimelineRouter(lateHandlers(() => handlers.timeline)),
    ping: createPingRouter(lateHandlers(() => handlers.ping)),
  });
}

/** All procedures between hosts. */
export type AppRouter = ReturnType<typeof createAppRouter>;
