import type { Formation } from '@buckthornlug/core/submissions/formationRegistry.js';

import type { GroupDescription } from './consensusSchema.js';
import { controlGroupId } from './controlGroupId.js';
import type { FormationGuard } from './formationGuard.js';

/** Time from one look at the register to the next. */
const watchIntervalMs = 5000;

/** What the watch is given. */
export interface FormationWatchParts {
  /** Groups as the replicas of this host see them. */
  readonly describeAll: () => readonly GroupDescription[];
  readonly guard: Pick<FormationGuard, 'keepRegistered'>;
}

/** Formation of a ledger group that this host leads. */
function ledFormation(group: GroupDescription): Formation | undefined {
  const { groupId, formationId, replicas = [] } = group;
  if (!group.isLeader || formationId === undefined || groupId === controlGroupId) return undefined;
  const voters = replicas.filter(({ role }) => role === 'voter');
  return { groupId, formationId, voters: voters.map(({ replicaId }) => replicaId) };
}

/**
 * Keeps the ledger groups that this host leads in the register of the control group, also after the
 * control group was formed anew and its register is empty.
 */
export class FormationWatch {
  private readonly timer: NodeJS.Timeout;

  private looking: Promise<void> | undefined;

  constructor(private readonly parts: FormationWatchParts) {
    this.timer = setInterval(() => this.look(), watchIntervalMs);
  }

  private look(): void {
    this.looking ??= this.keepAll().finally(() => {
      this.looking = undefined;
    });
  }

  private async keepAll(): Promise<void> {
    for (const group of this.parts.describeAll()) {
      const formation = ledFormation(group);
      if (formation !== undefined) await this.parts.guard.keepRegistered(formation);
    }
  }

  /** Ends the watch; resolves when nothing is under way. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.looking;
  }
}
