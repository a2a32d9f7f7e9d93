import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  CommittedStep,
  ShiftSnapshot,
  ShiftStep,
  ShiftUnit,
} from '@buckthornlug/protocol/shifts/shiftSchema.js';
import { err, ok, type Result } from 'neverthrow';

function unitKey(unit: ShiftUnit): string {
  return `${unit.service}/${unit.scope}/${unit.place}`;
}

function isNext(step: ShiftStep, last: ShiftStep | undefined): boolean {
  if (last === undefined || step.documentVersion > last.documentVersion) return step.number === 1;
  return step.documentVersion === last.documentVersion && step.number === last.number + 1;
}

/** The last committed step of each unit, as the control group and every host hold it. */
export class ShiftTable {
  private steps = new Map<string, CommittedStep>();

  private lastRevision = 0;

  private changeCount = 0;

  /** Number of steps committed so far. */
  get revision(): number {
    return this.lastRevision;
  }

  /** Number that rises with each change of a step held here. */
  get changes(): number {
    return this.changeCount;
  }

  find(unit: ShiftUnit): CommittedStep | undefined {
    return this.steps.get(unitKey(unit));
  }

  /** Share of the traffic of a unit that runs elsewhere. */
  movedPermille(unit: ShiftUnit): number {
    return this.find(unit)?.movedPermille ?? 0;
  }

  all(): CommittedStep[] {
    return [...this.steps.values()];
  }

  /** Steps that a host lacks which holds the given revision. */
  since(revision: number): CommittedStep[] {
    return this.all().filter((step) => step.revision > revision);
  }

  /**
   * Commits a step on the control group.
   *
   * @param step - step proposed by a leader
   * @param plan - version of the document in force and its largest step
   * @returns the committed step; BL8002 for a step of an older plan or one too large
   */
  commit(
    step: ShiftStep,
    plan: { readonly documentVersion: number; readonly stepPermille: number },
  ): Result<CommittedStep, Failure> {
    const last = this.find(step);
    if (step.documentVersion !== plan.documentVersion) {
      return err(failure('BL8002', `version ${plan.documentVersion} is in force`));
    }
    if (!isNext(step, last)) {
      return err(failure('BL8002', `step ${step.number} does not follow ${last?.number ?? 0}`));
    }
    const moved = Math.abs(step.movedPermille - (last?.movedPermille ?? 0));
    if (moved > plan.stepPermille) {
      return err(failure('BL8002', `${moved} permille exceed a step of ${plan.stepPermille}`));
    }
    this.lastRevision += 1;
    this.changeCount += 1;
    const committed = { ...step, revision: this.lastRevision };
    this.steps.set(unitKey(step), committed);
    return ok(committed);
  }

  /**
   * Takes over a step that another process committed.
   *
   * @param step - committed step
   * @returns whether it was newer than the one held
   */
  learn(step: CommittedStep): boolean {
    const last = this.find(step);
    if (last !== undefined && last.revision >= step.revision) return false;
    this.steps.set(unitKey(step), step);
    this.changeCount += 1;
    this.lastRevision = Math.max(this.lastRevision, step.revision);
    return true;
  }

  snapshot(): ShiftSnapshot {
    return { revision: this.lastRevision, steps: this.all() };
  }

  restore(snapshot: ShiftSnapshot): void {
    this.lastRevision = snapshot.revision;
    this.changeCount += 1;
    this.steps = new Map(snapshot.steps.map((step) => [unitKey(step), step]));
  }
}
