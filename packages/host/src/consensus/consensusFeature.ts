import { okAsync } from 'neverthrow';

import type { Feature } from '../runtime/hostParts.js';
import { FormationWatch } from './formationWatch.js';
import { HostGroups } from './groups.js';
import { registerGroupRoutes } from './groupRoutes.js';
import { LossAcceptance } from './lossAcceptance.js';

/** The replicated groups of the settings; features that start later open them. */
export const consensusFeature: Feature = {
  name: 'consensus',
  wanted: () => true,
  start: (context, parts) => {
    const groups = new HostGroups(context, parts);
    const describeAll = () => groups.groupIds().map((groupId) => groups.describe(groupId));
    const watch = new FormationWatch({ describeAll, guard: groups.guard });
    const losses = new LossAcceptance({ context, groups, guard: groups.guard });
    parts.provide({ openGroup: groups.open });
    parts.rpcHandlers.consensus = groups.handlers();
    parts.adminRoutes.push((app) => registerGroupRoutes(app, groups, losses));
    return okAsync({
      name: 'consensus',
      stopSteps: {
        handOver: () => groups.handOver(),
        closeTasks: async () => {
          await watch.stop();
          await groups.stop();
        },
      },
      status: () => ({ groups: describeAll() }),
    });
  },
};
