import { okAsync } from 'neverthrow';

import type { Feature } from '../runtime/hostParts.js';
import { FormationRegistrar } from './formationRegistrar.js';
import { HostGroups } from './groups.js';
import { registerGroupRoutes } from './groupRoutes.js';
import { LossAcceptance } from './lossAcceptance.js';

/** Runs the replicated groups of the settings; features that start later open them. */
export const consensusFeature: Feature = {
  name: 'consensus',
  isEnabled: () => true,
  start: (context, parts) => {
    const groups = new HostGroups(context, parts);
    const describeAll = () => groups.groupIds().map((groupId) => groups.describe(groupId));
    const formationRegistrar = new FormationRegistrar({
      describeAll,
      formationGuard: groups.formationGuard,
    });
    const lossAcceptance = new LossAcceptance({
      context,
      groups,
      formationGuard: groups.formationGuard,
    });
    parts.provide({ openGroup: groups.open });
    parts.rpcHandlers.consensus = groups.handlers();
    parts.adminRoutes.push((app) => registerGroupRoutes(app, groups, lossAcceptance));
    return okAsync({
      name: 'consensus',
      stopSteps: {
        handOver: () => groups.handOver(),
        closeTasks: async () => {
          await formationRegistrar.stop();
          await groups.stop();
        },
      },
      status: () => ({ groups: describeAll() }),
    });
  },
};
