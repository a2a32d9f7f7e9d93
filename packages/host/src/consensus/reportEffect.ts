import type { ConsensusEffect } from '@buckthornlug/core/consensus/consensusTypes.js';

import type { GroupTaskParts } from './groupTaskTypes.js';

/** Logs and records what changed in a group: its leader or its replicas. */
export function reportEffect(
  { context, groupId }: Pick<GroupTaskParts<unknown, unknown>, 'context' | 'groupId'>,
  effect: ConsensusEffect,
): void {
  if (effect.kind === 'roleChanged') {
    const { role, term } = effect;
    context.log.debug('roleChanged', { groupId, role, term });
    if (role === 'leader') {
      context.log.info('leaderElected', { groupId, term });
      context.record({ kind: 'leaderElected', detail: { groupId, term } });
    } else if (effect.leader === null && role === 'follower') {
      context.record({ kind: 'leaderLost', detail: { groupId, term } });
    }
  } else if (effect.kind === 'silentReplicaRemoved') {
    const { replicaId, silentMs } = effect;
    context.log.info('silentReplicaRemoved', { groupId, replicaId, silentMs });
  } else if (effect.kind === 'membersChanged') {
    const voters = effect.members.voters.join(',');
    const learners = effect.members.learners.join(',');
    context.log.info('membersChanged', { groupId, voters, learners });
    context.record({ kind: 'replicaAdded', detail: { groupId, voters, learners } });
  }
}
