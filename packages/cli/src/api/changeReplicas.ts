import { setTimeout as delay } from 'node:timers/promises';

import { signReplicaChange } from '@buckthornlug/core/groups/replicaChangeSignature.js';
import type { SharedKey } from '@buckthornlug/core/keys/signature.js';
import {
  groupsReplySchema,
  replicaChangeReplySchema,
  type ReplicaChange,
  type ReplicaChangeReply,
  type ReplicaView,
} from '@buckthornlug/protocol/groups/replicaChangeSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import type { AdminClient } from './adminClient.js';
import { postUntilOutcomeKnown } from './postUntilOutcomeKnown.js';

/** Changes of a group's replicas by an operator. */

const pollDelayMs = 200;
/** Time for which a host that has just started may run no replica yet. */
const replicaStartMs = 5000;

/** Replicas of a group as its leader knows them. */
export async function readReplicas(
  client: AdminClient,
  groupId: string,
): Promise<Result<readonly ReplicaView[], Failure>> {
  const answer = await client.get('/v1/groups');
  if (answer.isErr()) return err(answer.error);
  const { groups } = groupsReplySchema.parse(answer.value);
  const replicas = groups.find((group) => group.groupId === groupId)?.replicas;
  if (replicas === undefined) return err(failure('BL5001', `"${groupId}" is not known`));
  return ok(replicas);
}

/**
 * Sends a change of replicas, and resends it while its outcome is unknown.
 *
 * @param client - administration client
 * @param groupId - group
 * @param replicas - replicas that the change is based on
 * @param change - replica to add or to remove
 * @param key - cluster key that signs
 */
export async function changeReplicas(
  client: AdminClient,
  groupId: string,
  replicas: readonly ReplicaView[],
  change: ReplicaChange,
  key: SharedKey,
): Promise<Result<ReplicaChangeReply, Failure>> {
  const baseReplicaIds = replicas.map(({ replicaId }) => replicaId);
  const body = { groupId, change, baseReplicaIds, issuedAtMs: Date.now() };
  const signed = signReplicaChange(body, key);
  const path = `/v1/groups/${encodeURIComponent(groupId)}/replicas`;
  const answer = await postUntilOutcomeKnown(client, path, signed);
  return answer.map((value) => replicaChangeReplySchema.parse(value));
}

/**
 * Repeats a change that adds a replica while its host runs none yet.
 *
 * @param change - sends the change once
 * @param waitMs - longest time that the operator waits
 */
export async function repeatUntilReplicaRuns<T>(
  change: () => Promise<Result<T, Failure>>,
  waitMs: number,
): Promise<Result<T, Failure>> {
  const deadlineMs = performance.now() + Math.min(waitMs, replicaStartMs);
  for (;;) {
    const changed = await change();
    if (changed.isOk() || changed.error.code !== 'BL5005') return changed;
    if (performance.now() >= deadlineMs) return changed;
    await delay(pollDelayMs);
  }
}

/** Waits until the replica of a host is a voter; BL5006 if it still catches up after `waitMs`. */
export async function waitForVoter(
  client: AdminClient,
  groupId: string,
  hostId: string,
  waitMs: number,
): Promise<Result<readonly ReplicaView[], Failure>> {
  const deadlineMs = performance.now() + waitMs;
  for (;;) {
    const replicas = await readReplicas(client, groupId);
    const replica = replicas.isOk()
      ? replicas.value.find((one) => one.hostId === hostId)
      : undefined;
    if (replica?.role === 'voter') return replicas;
    if (performance.now() >= deadlineMs) {
      return err(failure('BL5006', `the replica of "${hostId}" is still catching up`));
    }
    await delay(pollDelayMs);
  }
}
