import {
  startsWithSameDisks,
  type Formation,
} from '@buckthornlug/core/submissions/formationRegistry.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { controlGroupId } from './controlGroupId.js';

/** Time limit of one look-up of a formation; it is repeated while the replica waits. */
const findTimeoutMs = 150;

/** What the guard reads of its host. */
export type FormationGuardParts = Pick<HostParts, 'peers' | 'control' | 'document'>;

function lostBefore(detail: string): Failure {
  return failure('BL5007', detail);
}

/**
 * Makes sure that a group is formed once. A ledger group is registered with the control group; the
 * control group itself is formed only while no host that answers holds a document.
 */
export class FormationGuard {
  private isControlLossAccepted = false;

  constructor(
    private readonly context: Pick<HostContext, 'settings'>,
    private readonly parts: FormationGuardParts,
  ) {}

  /**
   * Claims the right to form a group.
   *
   * @param formation - formation that is proposed
   * @returns the formation to start with; BL5007 where the group was formed before, or the failure
   *   that leaves it open
   */
  claim(formation: Formation): ResultAsync<Formation, Failure> {
    if (formation.groupId !== controlGroupId) return this.register(formation);
    if (this.isControlLossAccepted) return okAsync(formation);
    return new ResultAsync(this.checkDocuments(formation));
  }

  /**
   * Finds the registered formation that a replica with an empty disk is one of the first voters of,
   * so that it need not hear of it from the host that formed the group.
   *
   * @param groupId - group that the replica waits for
   * @param replicaId - replica with an empty disk
   */
  async startOf(groupId: string, replicaId: string): Promise<Formation | undefined> {
    if (groupId === controlGroupId) return undefined;
    const found = await this.parts.control?.findFormation(groupId, findTimeoutMs);
    if (found === undefined || found.isErr()) return undefined;
    return found.value?.voters.includes(replicaId) ? found.value : undefined;
  }

  /**
   * Lets a group be formed anew without its former state.
   *
   * @param groupId - group whose loss an operator accepts
   */
  acceptLoss(groupId: string): ResultAsync<void, Failure> {
    if (groupId !== controlGroupId) {
      const { control } = this.parts;
      if (control === undefined) return errAsync(failure('BL5005', 'no control group is set up'));
      return control.forgetFormation(groupId, this.timeoutMs());
    }
    this.isControlLossAccepted = true;
    return okAsync(undefined);
  }

  private register(formation: Formation): ResultAsync<Formation, Failure> {
    const { settings } = this.context;
    if (settings.groups.every(({ id }) => id !== controlGroupId)) return okAsync(formation);
    const { control } = this.parts;
    if (control === undefined) return errAsync(failure('BL5001', 'the host is starting'));
    return control.registerFormation(formation, this.timeoutMs()).andThen((registered) => {
      const isOwn = registered.formationId === formation.formationId;
      if (isOwn || startsWithSameDisks(registered, formation)) return ok(registered);
      return err(lostBefore(`"${formation.groupId}" was formed as ${registered.formationId}`));
    });
  }

  private async checkDocuments(formation: Formation): Promise<Result<Formation, Failure>> {
    const { settings } = this.context;
    const { peers, document } = this.parts;
    const ownVersion = document.current()?.version ?? 0;
    if (ownVersion > 0) return err(lostBefore(`this host holds document version ${ownVersion}`));
    const answers = await Promise.all(
      settings.peers.map(({ hostId }) =>
        peers.request(hostId, (client, signal) =>
          client.consensus.describe.query({ groupId: controlGroupId }, { signal }),
        ),
      ),
    );
    for (const [index, answer] of answers.entries()) {
      const version = answer.isOk() ? (answer.value.documentVersion ?? 0) : 0;
      if (version === 0) continue;
      const hostId = settings.peers[index]?.hostId;
      return err(lostBefore(`host "${hostId}" holds document version ${version}`));
    }
    return ok(formation);
  }

  private timeoutMs(): number {
    return this.context.settings.timing.rpcTimeoutMs;
  }
}
