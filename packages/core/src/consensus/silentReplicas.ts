import type { Members, ReplicaId, ReplacementOptions } from './consensusTypes.js';
import { changeMembers, changeRefusalReason, hostIdOf } from './membership.js';
import {
  hasAnsweredSince,
  quorumSize,
  type Leadership,
  type ReplicaState,
} from './replicaState.js';

/**
 * Removal of replicas that no longer answer. A group that admits hosts by itself would otherwise keep the
 * replicas of all hosts that were ever replaced as voters, until those that run are no majority.
 */

/** Number of hosts in the `count` places that have most of them. */
function hostsInLargest(places: readonly string[], count: number): number {
  const sizes = new Map<string, number>();
  for (const place of places) sizes.set(place, (sizes.get(place) ?? 0) + 1);
  const largest = [...sizes.values()].sort((left, right) => right - left).slice(0, count);
  return largest.reduce((sum, size) => sum + size, 0);
}

const placeKinds = ['availabilityZone', 'region'] as const;

/** Whether a group of just these voters keeps a majority without `lostVoters` of them. */
function keepsMajority(voters: readonly ReplicaId[], lostVoters: number): boolean {
  return voters.length - lostVoters >= quorumSize({ voters, learners: [] });
}

/** Whether a group of just these voters keeps a majority through a loss of zones, and of regions. */
function bearsLossOfPlaces(
  voters: readonly ReplicaId[],
  { losses, placeOf }: ReplacementOptions,
): boolean {
  const counts = { availabilityZone: losses.availabilityZones, region: losses.regions };
  return placeKinds.every((kind) => {
    const places = voters.map((id) => placeOf(hostIdOf(id))?.[kind] ?? id);
    return keepsMajority(voters, hostsInLargest(places, counts[kind]));
  });
}

/**
 * Whether a voter that does not answer can be spared. The others must bear the loss of hosts by
 * themselves. Losses of places have to be borne too, unless the group with that voter bears the loss of hosts
 * no more: after that it could only get worse.
 */
function canSpareSilentVoter(
  answering: readonly ReplicaId[],
  members: Members,
  replacement: ReplacementOptions,
): boolean {
  const { hosts } = replacement.losses;
  if (!keepsMajority(answering, hosts)) return false;
  const bearsHostsNow = answering.length - hosts >= quorumSize(members);
  return !bearsHostsNow || bearsLossOfPlaces(answering, replacement);
}

/** Time since the leader began to track a replica or sent the newest message that it acknowledged. */
function silenceMs(state: ReplicaState, leadership: Leadership, id: ReplicaId): number {
  const progress = leadership.progress.get(id);
  if (id === state.id || progress === undefined) return 0;
  return state.nowMs - Math.max(progress.trackedSinceMs, progress.ackedSentAtMs);
}

/**
 * The replica to remove next: a learner that is silent, or the voter that has been silent longest. A voter
 * that is only cut off looks the same, so it stays while the others need its log.
 */
function findReplicaToRemove(
  state: ReplicaState,
  leadership: Leadership,
  replacement: ReplacementOptions,
): ReplicaId | undefined {
  const isSilent = (id: ReplicaId) => silenceMs(state, leadership, id) >= replacement.silentMs;
  const { voters, learners } = state.members;
  const silentLearner = learners.find(isSilent);
  if (silentLearner !== undefined) return silentLearner;
  const silentVoters = voters.filter(isSilent);
  if (silentVoters.length === 0) return undefined;
  const sinceMs = state.nowMs - state.options.electionTimeoutMs;
  const answering = voters.filter((id) => hasAnsweredSince(state, leadership, id, sinceMs));
  if (!canSpareSilentVoter(answering, state.members, replacement)) return undefined;
  return silentVoters.reduce((longest, id) =>
    silenceMs(state, leadership, id) > silenceMs(state, leadership, longest) ? id : longest,
  );
}

/** Removes at most one replica that has been silent for long; does nothing while a change is pending. */
export function removeSilentReplica(state: ReplicaState): void {
  const { leadership } = state;
  const { replacement } = state.options;
  if (leadership === undefined || replacement === undefined) return;
  if (changeRefusalReason(state) !== undefined) return;
  const replicaId = findReplicaToRemove(state, leadership, replacement);
  if (replicaId === undefined) return;
  const silentMs = silenceMs(state, leadership, replicaId);
  state.effects.push({ kind: 'silentReplicaRemoved', replicaId, silentMs });
  changeMembers(state, { change: 'remove', replicaId });
}
