import type { Formation } from '@buckthornlug/core/submissions/formationRegistry.js';

import type { GroupDescription } from './consensusSchema.js';
import { controlGroupId } from './controlGroupId.js';
import type { FormationGuard } from './formationGuard.js';

/** Interval between checks of the registry. */
const registrationIntervalMs = 5000;

/** Dependencies of the registrar. */
export interface FormationRegistrarParts {
  /** Groups as the replicas of this host see them. */
  readonly describeAll: () => readonly GroupDescription[];
  readonly formationGuard: Pick<FormationGuard, 'ensureRegistered'>;
}

/** Formation of a group; undefined unless it is a ledger group that this host leads. */
function ledFormationOf(group: GroupDescription): Formation | undefined {
  const { groupId, formationId, replicas = [] } = group;
  if (!group.isLeader || formationId === undefined || groupId === controlGroupId) return undefined;
  const voters = replicas.filter(({ role }) => role === 'voter');
  return { groupId, formationId, voters: voters.map(({ replicaId }) => replicaId) };
}

/**
 * Keeps the ledger groups that this host leads registered with the control group, also after the
 * control group was formed anew with an empty registry.
 */
export class FormationRegistrar {
  private readonly timer: NodeJS.Timeout;

  private currentRun: Promise<void> | undefined;

  constructor(private readonly parts: FormationRegistrarParts) {
    this.timer = setInterval(() => this.startRun(), registrationIntervalMs);
  }

  private startRun(): void {
    this.currentRun ??= this.registerLedFormations().finally(() => {
      this.currentRun = undefined;
    });
  }

  private async registerLedFormations(): Promise<void> {
    for (const group of this.parts.describeAll()) {
      const formation = ledFormationOf(group);
      if (formation !== undefined) await this.parts.formationGuard.ensureRegistered(formation);
    }
  }

  /** Stops the checks; resolves when the current one has ended. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.currentRun;
  }
}
