import { isFormAnewRequestSignedWith } from '@buckthornlug/core/submissions/formAnewSignature.js';
import {
  hasSameVoters,
  type Formation,
  type FormationReply,
} from '@buckthornlug/core/submissions/formationRegistry.js';
import type { FormAnewRequest } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup } from '../submissions/controlGroup.js';
import { retryUntilOutcomeKnown } from '../submissions/operatorCommand.js';
import { controlGroupId } from './controlGroupId.js';

/** Time limit of one look-up of a formation; it is repeated while the replica waits. */
const findTimeoutMs = 150;

/** Dependencies of the guard. */
export type FormationGuardParts = Pick<HostParts, 'peers' | 'control' | 'document'>;

function alreadyFormedFailure(detail: string): Failure {
  return failure('BL5007', detail);
}

/**
 * Ensures that a group is formed only once. A ledger group is registered with the control group.
 * The control group itself is formed only while no host that answers holds a document.
 */
export class FormationGuard {
  /** Empty disk of this host that may form the control group although a document is known. */
  private replicaIdWithAcceptedLoss: string | undefined;

  constructor(
    private readonly context: Pick<HostContext, 'settings' | 'clock' | 'log'>,
    private readonly parts: FormationGuardParts,
  ) {}

  /**
   * Claims the right to form a group.
   *
   * @param formation - proposed formation
   * @returns the formation to start with; BL5007 if the group was formed before; another failure if
   *   that could not be determined
   */
  claim(formation: Formation): ResultAsync<Formation, Failure> {
    if (formation.groupId !== controlGroupId) return this.register(formation);
    if (formation.voters.some((id) => this.isControlLossAccepted(id))) return okAsync(formation);
    return new ResultAsync(this.checkNoDocumentKnown(formation));
  }

  /**
   * Finds the registered formation of a group if a replica with an empty disk is one of its first
   * voters, so that the replica does not depend on an answer of the host that formed the group.
   */
  async findFormationWithVoter(groupId: string, replicaId: string): Promise<Formation | undefined> {
    if (groupId === controlGroupId) return undefined;
    const found = await this.parts.control?.findFormation(groupId, findTimeoutMs);
    if (found === undefined || found.isErr()) return undefined;
    const { formation } = found.value;
    return formation?.voters.includes(replicaId) ? formation : undefined;
  }

  /**
   * Registers the formation of a running ledger group if the registry has none, as after the
   * control group was formed anew. On failure nothing is registered until the next call.
   */
  async ensureRegistered(formation: Formation): Promise<void> {
    const { control } = this.parts;
    const { groupId, formationId } = formation;
    const found = await control?.findFormation(groupId, this.timeoutMs());
    if (control === undefined || found === undefined || found.isErr()) return;
    if (found.value.formation !== undefined) return;
    const registered = await control.registerFormation(formation, this.timeoutMs());
    if (registered.isErr()) return;
    this.context.log.warn('formationRegistered', { groupId, formationId });
  }

  /**
   * Looks up the registered formation and the given-up formations of a ledger group; a request to
   * form the group anew has to name one of them.
   */
  findFormations(groupId: string): ResultAsync<FormationReply, Failure> {
    return this.requestUntilKnown((control, timeoutMs) =>
      control.findFormation(groupId, timeoutMs),
    );
  }

  /**
   * Allows a ledger group to be formed anew without its former state. Waits for the control group
   * as submissions do; a resent request gets the same reply.
   *
   * @param request - group and formation whose loss an operator accepts
   * @returns BL2006 or BL2004 if the signer may not do so; BL5009 if the formation was never
   *   registered; BL5002 if it is unknown whether the loss was accepted
   */
  acceptLedgerLoss(request: FormAnewRequest): ResultAsync<void, Failure> {
    const authority = this.isClusterSigned(request) ? 'cluster' : 'team';
    const command = { type: 'giveUpFormation', request, authority } as const;
    return this.requestUntilKnown((control, timeoutMs) =>
      control.giveUpFormation(command, timeoutMs),
    );
  }

  /** Allows an empty disk of this host to form the control group anew. */
  acceptControlLoss(replicaId: string): void {
    this.replicaIdWithAcceptedLoss = replicaId;
  }

  /** Whether a request is signed with a cluster key of this host. */
  isClusterSigned(request: FormAnewRequest): boolean {
    const key = this.context.settings.clusterKeys.find(({ id }) => id === request.keyId);
    return key !== undefined && isFormAnewRequestSignedWith(request, key.secret);
  }

  /** Whether the loss of the control group was accepted for this disk. */
  isControlLossAccepted(replicaId: string): boolean {
    return this.replicaIdWithAcceptedLoss === replicaId;
  }

  private requestUntilKnown<Value>(
    attempt: (control: ControlGroup, timeoutMs: number) => ResultAsync<Value, Failure>,
  ): ResultAsync<Value, Failure> {
    const { control } = this.parts;
    if (control === undefined) return errAsync(failure('BL5005', 'no control group is set up'));
    const unknown = failure('BL5002', 'the control group did not confirm in time');
    return new ResultAsync(
      retryUntilOutcomeKnown(
        this.context.clock,
        (timeoutMs) => attempt(control, timeoutMs),
        unknown,
      ),
    );
  }

  private register(formation: Formation): ResultAsync<Formation, Failure> {
    const { settings } = this.context;
    if (settings.groups.every(({ id }) => id !== controlGroupId)) return okAsync(formation);
    const { control } = this.parts;
    if (control === undefined) return errAsync(failure('BL5001', 'the host is starting'));
    return control.registerFormation(formation, this.timeoutMs()).andThen((registered) => {
      const isOwn = registered.formationId === formation.formationId;
      if (isOwn || hasSameVoters(registered, formation)) return ok(registered);
      return err(
        alreadyFormedFailure(`"${formation.groupId}" was formed as ${registered.formationId}`),
      );
    });
  }

  private async checkNoDocumentKnown(formation: Formation): Promise<Result<Formation, Failure>> {
    const { settings } = this.context;
    const { peers, document } = this.parts;
    const ownVersion = document.current()?.version ?? 0;
    if (ownVersion > 0)
      return err(alreadyFormedFailure(`this host holds document version ${ownVersion}`));
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
      return err(alreadyFormedFailure(`host "${hostId}" holds document version ${version}`));
    }
    return ok(formation);
  }

  private timeoutMs(): number {
    return this.context.settings.timing.rpcTimeoutMs;
  }
}
