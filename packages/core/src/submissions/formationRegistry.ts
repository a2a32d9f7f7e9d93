import type { FormAnewRequest } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { SubmissionAuthority } from './submissionTypes.js';

/** Formations of the ledger groups, committed by the control group. */

/** The creation of a group from its first voters. */
export interface Formation {
  readonly groupId: string;
  readonly formationId: string;
  /** Replica ids of the first voters. */
  readonly voters: readonly string[];
}

/** Command of the control group that registers a formation before its first replica starts. */
export interface RegisterFormationCommand {
  readonly type: 'registerFormation';
  readonly formation: Formation;
}

/** Command of an operator that allows a group to be formed again without its former state. */
export interface GiveUpFormationCommand {
  readonly type: 'giveUpFormation';
  readonly request: FormAnewRequest;
  readonly authority: SubmissionAuthority;
}

/** Reads the formation of a group without a commit. */
export interface FindFormationCommand {
  readonly type: 'findFormation';
  readonly groupId: string;
}

/** Reply with the formation that is registered after the command, if the group has one. */
export interface FormationReply {
  readonly formation: Formation | undefined;
  /** Ids of the formations of the group that were given up, oldest first. */
  readonly givenUpIds: readonly string[];
}

/** Reply to a `GiveUpFormationCommand`. */
export type GiveUpOutcome =
  { readonly givenUp: true } | { readonly givenUp: false; readonly failure: Failure };

/** Formations of one group that were given up. */
export interface GivenUpFormations {
  readonly groupId: string;
  readonly formationIds: readonly string[];
}

/** Whole state of the registry. */
export interface FormationsSnapshot {
  readonly formations: readonly Formation[];
  readonly givenUp: readonly GivenUpFormations[];
}

/** Maximum number of given-up formations recorded per group for resends; the oldest go first. */
const maxGivenUpPerGroup = 100;

/**
 * Whether two formations have the same first voters. A disk gets a new replica id when it is
 * emptied, so the same ids mean the same empty disks, which may resume a registered formation.
 */
export function hasSameVoters(one: Formation, other: Formation): boolean {
  return [...one.voters].sort().join() === [...other.voters].sort().join();
}

/** Registers one formation per group; another is accepted only after the first was given up. */
export class FormationRegistry {
  private formations = new Map<string, Formation>();

  private givenUp = new Map<string, readonly string[]>();

  /** Registers a formation unless the group has one; returns the registered formation. */
  register(formation: Formation): FormationReply {
    if (!this.formations.has(formation.groupId)) {
      this.formations.set(formation.groupId, formation);
    }
    return this.find(formation.groupId);
  }

  /** Finds the registered formation of a group, if it has one. */
  find(groupId: string): FormationReply {
    return { formation: this.formations.get(groupId), givenUpIds: this.givenUpIds(groupId) };
  }

  /**
   * Gives up a formation. Giving up the same formation again changes nothing, so a resent or late
   * command does not affect a later formation of the group.
   *
   * @returns BL5009 if the formation is neither registered nor recorded as given up
   */
  giveUp(groupId: string, formationId: string): GiveUpOutcome {
    if (this.formations.get(groupId)?.formationId === formationId) {
      this.formations.delete(groupId);
      const earlierIds = this.givenUpIds(groupId).filter((id) => id !== formationId);
      this.givenUp.set(groupId, [...earlierIds, formationId].slice(-maxGivenUpPerGroup));
      return { givenUp: true };
    }
    if (this.givenUpIds(groupId).includes(formationId)) return { givenUp: true };
    const unknownFormation = failure(
      'BL5009',
      `"${formationId}" is not a formation of group "${groupId}"`,
    );
    return { givenUp: false, failure: unknownFormation };
  }

  private givenUpIds(groupId: string): readonly string[] {
    return this.givenUp.get(groupId) ?? [];
  }

  snapshot(): FormationsSnapshot {
    const givenUp = [...this.givenUp].map(([groupId, formationIds]) => ({ groupId, formationIds }));
    return { formations: [...this.formations.values()], givenUp };
  }

  restore({ formations, givenUp }: FormationsSnapshot): void {
    this.formations = new Map(formations.map((each) => [each.groupId, each]));
    this.givenUp = new Map(givenUp.map((each) => [each.groupId, each.formationIds]));
  }
}
