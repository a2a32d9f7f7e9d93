import { hostIdOf } from '@buckthornlug/core/consensus/membership.js';
import { lastIndexOf, logBytes } from '@buckthornlug/core/consensus/replicaLog.js';
import type { ReplicaState } from '@buckthornlug/core/consensus/replicaState.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';

import type { GroupDescription, ReplicaStatus } from './consensusSchema.js';

/** Describes a group as one of its replicas sees it, for operators and for other hosts. */

/** A replica to describe. */
export interface DescribedReplica {
  readonly groupId: string;
  readonly state: ReplicaState;
  readonly formationId: string | undefined;
  /** Whether the replica leads and no other replica can have been elected. */
  readonly isLeader: boolean;
  readonly storageFailure: Failure | undefined;
}

function replicaStatusOf(
  state: ReplicaState,
  replicaId: string,
  role: ReplicaStatus['role'],
): ReplicaStatus {
  const hostId = hostIdOf(replicaId);
  const { leadership, log } = state;
  if (leadership === undefined) return { replicaId, hostId, role };
  const matchIndex = leadership.progress.get(replicaId)?.matchIndex;
  const lagEntries = replicaId === state.id ? 0 : lastIndexOf(log) - (matchIndex ?? 0);
  return { replicaId, hostId, role, lagEntries };
}

/** Describes a group as its replica on this host sees it. */
export function describeReplica(replica: DescribedReplica): GroupDescription {
  const { groupId, state, formationId, isLeader, storageFailure } = replica;
  const { term, commitIndex, members, leader, log } = state;
  return {
    groupId,
    state: storageFailure === undefined ? 'running' : 'failed',
    replicaId: state.id,
    ...(formationId === undefined ? {} : { formationId }),
    term,
    ...(leader === null ? {} : { leaderId: hostIdOf(leader) }),
    isLeader,
    commitIndex,
    logBytes: logBytes(log),
    replicas: [
      ...members.voters.map((id) => replicaStatusOf(state, id, 'voter')),
      ...members.learners.map((id) => replicaStatusOf(state, id, 'learner')),
    ],
    ...(storageFailure === undefined ? {} : { failure: storageFailure }),
  };
}
