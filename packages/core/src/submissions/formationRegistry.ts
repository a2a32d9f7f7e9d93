import type { FormAnewRequest } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { SubmissionAuthority } from './submissionTypes.js';

/** The formations of the ledger groups, as the control group has committed them. */

/** First voters of a group under the identity of its formation. */
export interface Formation {
  readonly groupId: string;
  readonly formationId: string;
  /** Replicas that the group starts with. */
  readonly voters: readonly string[];
}

/** Command of the control group that registers a formation before its first replica starts. */
export interface RegisterFormationCommand {
  readonly type: 'registerFormation';
  readonly formation: Formation;
}

/** Command of an operator that allows a group to be formed anew without its former state. */
export interface GiveUpFormationCommand {
  readonly type: 'giveUpFormation';
  readonly request: FormAnewRequest;
  readonly authority: SubmissionAuthority;
}

/** Asks for the formation of a group without a commit. */
export interface FindFormationCommand {
  readonly type: 'findFormation';
  readonly groupId: string;
}

/** The formation in force after the command; absent where the group has none. */
export interface FormationReply {
  readonly formation: Formation | undefined;
  /** Formations of the group that were given up, oldest first. */
  readonly givenUpIds: readonly string[];
}

/** Reply to an operator who gives up a formation. */
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

/** Formations that were given up and are kept for resends, by group; the oldest goes first. */
const maxGivenUpPerGroup = 100;

/**
 * Tells whether two formations start with the same disks. A disk gets a new identity when it is
 * emptied, so a formation that was registered may be resumed by the same empty disks.
 */
export function hasSameVoters(one: Formation, other: Formation): boolean {
  return [...one.voters].sort().join() === [...other.voters].sort().join();
}

/** One formation of each group; a second one is taken only after the first was given up. */
export class FormationRegistry {
  private formations = new Map<string, Formation>();

  private givenUp = new Map<string, readonly string[]>();

  /** Registers the first formation of a group; returns the one that is registered now. */
  register(formation: Formation): FormationReply {
    if (!this.formations.has(formation.groupId)) {
      this.formations.set(formation.groupId, formation);
    }
    return this.find(formation.groupId);
  }

  /** The formation of a group, if it has one. */
  find(groupId: string): FormationReply {
    return { formation: this.formations.get(groupId), givenUpIds: this.givenUpIds(groupId) };
  }

  /**
   * Gives up a formation. One that was given up before stays so and changes nothing, so a command
   * that is sent again or comes late doesn't touch a later formation.
   *
   * @returns BL5009 where the formation was never registered
   */
  giveUp(groupId: string, formationId: string): GiveUpOutcome {
    if (this.formations.get(groupId)?.formationId === formationId) {
      this.formations.delete(groupId);
      const earlierIds = this.givenUpIds(groupId).filter((id) => id !== formationId);
      this.givenUp.set(groupId, [...earlierIds, formationId].slice(-maxGivenUpPerGroup));
      return { givenUp: true };
    }
    if (this.givenUpIds(groupId).includes(formationId)) return { givenUp: true };
    const problem = failure('BL5009', `"${formationId}" is no formation of "${groupId}"`);
    return { givenUp: false, failure: problem };
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
