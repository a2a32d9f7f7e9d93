import type {
  FormAnewReply,
  FormAnewRequest,
  FormationStatus,
} from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync, ok, okAsync, type Result, type ResultAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { GroupDescription } from './consensusSchema.js';
import { controlGroupId } from './controlGroupId.js';
import type { FormationGuard } from './formationGuard.js';
import type { HostGroups } from './groups.js';

/** Dependencies of the acceptance of losses. */
export interface LossAcceptanceParts {
  readonly context: Pick<HostContext, 'settings' | 'log' | 'record'>;
  readonly groups: Pick<HostGroups, 'describe' | 'describeAnywhere' | 'configuredHostIds'>;
  readonly formationGuard: Pick<
    FormationGuard,
    | 'findFormations'
    | 'acceptLedgerLoss'
    | 'acceptControlLoss'
    | 'isClusterSigned'
    | 'isControlLossAccepted'
  >;
}

function replicaRunningFailure({ replicaId }: GroupDescription): Failure {
  return failure('BL5008', `replica "${replicaId}" is running`);
}

/** Handles requests of operators to give up the state of a group, so that it can be formed anew. */
export class LossAcceptance {
  constructor(private readonly parts: LossAcceptanceParts) {}

  /**
   * Returns the identities that a request to form a group anew has to name. For the control group,
   * `lostId` is the empty disk that is to form it.
   *
   * @returns BL5005 if the group is not configured or another host has to be asked
   */
  getFormationStatus(groupId: string): ResultAsync<FormationStatus, Failure> {
    return this.checkResponsibleHost(groupId).asyncAndThen(() => {
      if (groupId !== controlGroupId) {
        return this.parts.formationGuard
          .findFormations(groupId)
          .map(({ formation, givenUpIds }) => ({
            groupId,
            ...(formation === undefined ? {} : { lostId: formation.formationId }),
            givenUpIds: [...givenUpIds],
          }));
      }
      const { replicaId } = this.parts.groups.describe(groupId);
      const lost = replicaId === undefined ? {} : { lostId: replicaId };
      return okAsync({ groupId, ...lost, givenUpIds: [] });
    });
  }

  /**
   * Allows a group to be formed anew without its former state. A resent request changes nothing
   * and gets the same reply.
   *
   * @returns BL2006 or BL2004 if the signer may not give up the group, BL5005 if another host has
   *   to be asked, BL5008 if a replica of the lost formation is running, BL5009 if the group was not
   *   formed as stated, BL5002 if the outcome is unknown
   */
  accept(request: FormAnewRequest): ResultAsync<FormAnewReply, Failure> {
    const { groupId, lostId } = request;
    const accepted = this.checkResponsibleHost(groupId).asyncAndThen(() =>
      groupId === controlGroupId ? this.acceptControl(request) : this.acceptLedger(request),
    );
    return accepted
      .map(() => ({ groupId, lostId, lossAccepted: true as const }))
      .andTee(() => this.report('lossAccepted', request))
      .orTee(({ code }) => this.report('lossRefused', request, code));
  }

  private checkResponsibleHost(groupId: string): Result<void, Failure> {
    const { context, groups } = this.parts;
    const [formingHostId] = [...groups.configuredHostIds(groupId)].sort();
    if (formingHostId === undefined)
      return err(failure('BL5005', `no group "${groupId}" is set up`));
    if (groupId !== controlGroupId || formingHostId === context.settings.hostId)
      return ok(undefined);
    return err(
      failure(
        'BL5005',
        `"${groupId}" is formed by host "${formingHostId}"; send the request there`,
      ),
    );
  }

  private acceptLedger(request: FormAnewRequest): ResultAsync<void, Failure> {
    const { groups, formationGuard } = this.parts;
    return groups.describeAnywhere(request.groupId).andThen((group) => {
      const isLost = group.state !== 'running' || group.formationId !== request.lostId;
      return isLost
        ? formationGuard.acceptLedgerLoss(request)
        : errAsync(replicaRunningFailure(group));
    });
  }

  /** Without its document the control group has no team keys, so a cluster key is required. */
  private acceptControl(request: FormAnewRequest): ResultAsync<void, Failure> {
    const { groups, formationGuard } = this.parts;
    const { lostId } = request;
    if (!formationGuard.isClusterSigned(request)) {
      const detail = 'a request for the control group is signed with a cluster key';
      return errAsync(failure('BL2006', detail));
    }
    if (formationGuard.isControlLossAccepted(lostId)) return okAsync(undefined);
    return groups.describeAnywhere(controlGroupId).andThen((group) => {
      if (group.state === 'running') return err(replicaRunningFailure(group));
      const { replicaId } = groups.describe(controlGroupId);
      if (replicaId !== lostId) {
        return err(failure('BL5009', `the disk that may form the group is ${replicaId}`));
      }
      formationGuard.acceptControlLoss(lostId);
      return ok(undefined);
    });
  }

  private report(
    kind: 'lossAccepted' | 'lossRefused',
    { groupId, lostId, team, keyId }: FormAnewRequest,
    code?: string,
  ): void {
    const { log, record } = this.parts.context;
    const detail = { groupId, lostId, team, keyId };
    log.warn(kind, { ...detail, ...(code === undefined ? {} : { code }) });
    record({ kind, detail, ...(code === undefined ? {} : { code }) });
  }
}
