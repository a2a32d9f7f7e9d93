import { rpcRouter } from '@buckthornlug/protocol/rpc/rpcContext.js';

import { createConsensusRouter, type ConsensusHandlers } from '../consensus/consensusRouter.js';
import {
  createSubmissionsRouter,
  type SubmissionsHandlers,
} from '../submissions/submissionsRouter.js';
import { deferHandlers } from './deferredHandlers.js';
import { createMetricsRouter, type MetricsHandlers } from '../metrics/metricsRouter.js';
import { createSlotsRouter, type SlotsHandlers } from '../slots/slotsRouter.js';
import { createTimelineRouter, type TimelineHandlers } from '../timeline/timelineRouter.js';
import { createDocumentsRouter, type DocumentsHandlers } from '../documents/documentsRouter.js';
import { createMembershipRouter, type MembershipHandlers } from '../membership/membershipRouter.js';
import { createRoutingRouter, type RoutingHandlers } from '../routing/routingRouter.js';
import { createPingRouter, type PingHandlers } from './pingRouter.js';

/** Handlers of all procedures between hosts; each feature sets its own handlers when it starts. */
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
 * @param handlers - handlers of the features that have started; read at each call
 */
export function createAppRouter(handlers: Partial<RpcHandlers>) {
  return rpcRouter({
    documents: createDocumentsRouter(deferHandlers(() => handlers.documents)),
    consensus: createConsensusRouter(deferHandlers(() => handlers.consensus)),
    membership: createMembershipRouter(deferHandlers(() => handlers.membership)),
    metrics: createMetricsRouter(deferHandlers(() => handlers.metrics)),
    routing: createRoutingRouter(deferHandlers(() => handlers.routing)),
    slots: createSlotsRouter(deferHandlers(() => handlers.slots)),
    submissions: createSubmissionsRouter(deferHandlers(() => handlers.submissions)),
    timeline: createTimelineRouter(deferHandlers(() => handlers.timeline)),
    ping: createPingRouter(deferHandlers(() => handlers.ping)),
  });
}

/** All procedures between hosts. */
export type AppRouter = ReturnType<typeof createAppRouter>;
