import type { DurableState } from '@buckthornlug/core/consensus/consensusTypes.js';
import { hostIdOf } from '@buckthornlug/core/consensus/membership.js';

import type { GroupDescription } from './consensusSchema.js';

/** The start of a group, and the way of an empty disk into a group that runs. */

/** What a replica with an empty disk does next. */
export type FormationStep =
  | { readonly step: 'wait' }
  | { readonly step: 'form'; readonly voters: readonly string[] }
  | {
      readonly step: 'adopt';
      readonly formationId: string;
      readonly voters: readonly string[];
    };

/**
 * Decides from what the other members answer. A group is formed once, by the first of its members,
 * and only while every member answers and has an empty disk; whoever finds a group that runs
 * adopts its start if it is among the first voters, and else joins with no voters of its own.
 *
 * @param ownReplicaId - identity of the own replica
 * @param configuredHostIds - hosts that start the group
 * @param answers - answers of the other members, as far as they came
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
 * First state of a replica.
 *
 * @param firstVoters - voters of the group's start; none for a replica that joins later
 */
export function createInitialState(firstVoters: readonly string[]): DurableState {
  const members = { voters: firstVoters, learners: [] };
  return {
    hardState: { term: 0, votedFor: null },
    snapshot: { index: 0, term: 0, members, data: new Uint8Array(0) },
    entries: [],
  };
}
