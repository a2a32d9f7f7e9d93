import type { DurableState } from '@buckthornlug/core/consensus/consensusTypes.js';
import { hostIdOf } from '@buckthornlug/core/consensus/membership.js';

import type { GroupDescription } from './consensusSchema.js';

/** Formation of a group, and how a replica with an empty disk joins a running group. */

/** Next step of a replica with an empty disk. */
export type FormationStep =
  | { readonly step: 'wait' }
  | { readonly step: 'form'; readonly voters: readonly string[] }
  | {
      readonly step: 'adopt';
      readonly formationId: string;
      readonly voters: readonly string[];
    };

/**
 * Decides the next step from the descriptions that other hosts gave. A group is formed once, by the
 * first of its configured hosts in sort order, and only while all of them answer and have empty
 * disks. A replica that finds a running group adopts its formation: with the first voters if it is
 * one of them, and else without voters, as a replica that joins later.
 *
 * @param configuredHostIds - hosts that the settings list as members
 * @param answers - descriptions of the group by the other hosts that answered
 */
export function nextFormationStep(
  ownReplicaId: string,
  configuredHostIds: readonly string[],
  answers: readonly GroupDescription[],
): FormationStep {
  for (const { formationId, firstVoters } of answers) {
    if (formationId === undefined) continue;
    const isFirst = firstVoters?.includes(ownReplicaId) ?? false;
    return { step: 'adopt', formationId, voters: isFirst ? (firstVoters ?? []) : [] };
  }
  const hostId = hostIdOf(ownReplicaId);
  if ([...configuredHostIds].sort()[0] !== hostId) return { step: 'wait' };
  const voters = [ownReplicaId];
  for (const configuredHostId of configuredHostIds) {
    if (configuredHostId === hostId) continue;
    const answer = answers.find(
      ({ state, replicaId }) =>
        state === 'empty' && replicaId !== undefined && hostIdOf(replicaId) === configuredHostId,
    );
    if (answer?.replicaId === undefined) return { step: 'wait' };
    voters.push(answer.replicaId);
  }
  return { step: 'form', voters };
}

/**
 * Creates the initial state of a replica.
 *
 * @param firstVoters - voters that the group starts with; none for a replica that joins later
 */
export function createInitialState(firstVoters: readonly string[]): DurableState {
  const members = { voters: firstVoters, learners: [] };
  return {
    hardState: { term: 0, votedFor: null },
    snapshot: { index: 0, term: 0, members, data: new Uint8Array(0) },
    entries: [],
  };
}
