import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ReplicaView } from '@buckthornlug/protocol/groups/replicaChangeSchema.js';
import { Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';

import { changeReplicas, readReplicas } from '../api/changeReplicas.js';
import { AdminCommand } from './adminCommand.js';
import { readSecretFile } from './secretFile.js';

/** Lists replicas as text. */
export function formatReplicas(replicas: readonly ReplicaView[]): string {
  return replicas.map(({ replicaId, role }) => `${replicaId} ${role}`).join('\n');
}

/** A command that changes the replicas of a group. */
export abstract class GroupReplicaCommand extends AdminCommand {
  groupId = Option.String({ required: true });

  hostId = Option.String({ required: true });

  keyId = Option.String('--key', { required: true, description: 'Identity of a cluster key.' });

  secretFile = Option.String('--secret-file', {
    required: true,
    description: 'File that holds the secret of the key.',
  });

  protected async change(
    change: 'add' | 'remove',
  ): Promise<Result<readonly ReplicaView[], Failure>> {
    const secret = await readSecretFile(this.secretFile);
    if (secret.isErr()) return err(secret.error);
    const { groupId, hostId } = this;
    const replicas = await readReplicas(this.client(), groupId);
    if (replicas.isErr()) return err(replicas.error);
    const existing = replicas.value.find((one) => one.hostId === hostId);
    if (change === 'remove' && existing === undefined) return ok(replicas.value);
    const replicaChange =
      change === 'remove' && existing !== undefined
        ? ({ change: 'remove', replicaId: existing.replicaId } as const)
        : ({ change: 'add', hostId } as const);
    const key = { id: this.keyId, secret: secret.value };
    const reply = await changeReplicas(this.client(), groupId, replicas.value, replicaChange, key);
    return reply.map((value) => value.replicas);
  }
}
