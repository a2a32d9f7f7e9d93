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
export interface ForgetFormationCommand {
  readonly type: 'forgetFormation';
  readonly groupId: string;
}

/** Asks for the formation of a group without a commit. */
export interface FindFormationCommand {
  readonly type: 'findFormation';
  readonly groupId: string;
}

/** The formation in force after the command; absent where the group has none. */
export interface FormationReply {
  readonly formation: Formation | undefined;
}

/**
 * Tells whether two formations start with the same disks. A disk gets a new identity when it is
 * emptied, so a formation that was registered may be resumed by the same empty disks.
 */
export function startsWithSameDisks(one: Formation, other: Formation): boolean {
  return [...one.voters].sort().join() === [...other.voters].sort().join();
}

/** One formation of each group; a second one is taken only after the first was forgotten. */
export class FormationRegistry {
  private formations = new Map<string, Formation>();

  /** Registers the first formation of a group; returns the one that is registered now. */
  register(formation: Formation): FormationReply {
    const known = this.formations.get(formation.groupId);
    if (known !== undefined) return { formation: known };
    this.formations.set(formation.groupId, formation);
    return { formation };
  }

  /** The formation of a group, if it has one. */
  find(groupId: string): FormationReply {
    return { formation: this.formations.get(groupId) };
  }

  /** Forgets the formation of a group. */
  forget(groupId: string): FormationReply {
    this.formations.delete(groupId);
    return { formation: undefined };
  }

  snapshot(): readonly Formation[] {
    return [...this.formations.values()];
  }

  restore(formations: readonly Formation[]): void {
    this.formations = new Map(formations.map((each) => [each.groupId, each]));
  }
}
