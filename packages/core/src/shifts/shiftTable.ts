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

function isNextStep(step: ShiftStep, last: ShiftStep | undefined): boolean {
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

  allSteps(): CommittedStep[] {
    return [...this.steps.values()];
  }

  /** Steps that a host lacks which holds the given revision. */
  stepsSince(revision: number): CommittedStep[] {
    return this.allSteps().filter((step) => step.revision > revision);
  }

  /**
   * Commits a step on the control group.
   *
   * @param step - step proposed by a leader
   * @param limits - version of the document in force and its largest step
   * @returns the committed step; BL8002 for a step of an older plan or one too large
   */
  commit(
    step: ShiftStep,
    limits: { readonly documentVersion: number; readonly stepPermille: number },
  ): Result<CommittedStep, Failure> {
    const last = this.find(step);
    if (step.documentVersion !== limits.documentVersion) {
      return err(failure('BL8002', `version ${limits.documentVersion} is in force`));
    }
    if (!isNextStep(step, last)) {
      return err(failure('BL8002', `step ${step.number} does not follow ${last?.number ?? 0}`));
    }
    const changePermille = Math.abs(step.movedPermille - (last?.movedPermille ?? 0));
    if (changePermille > limits.stepPermille) {
      return err(
        failure('BL8002', `${changePermille} permille exceed a step of ${limits.stepPermille}`),
      );
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
  applyCommitted(step: CommittedStep): boolean {
    const last = this.find(step);
    if (last !== undefined && last.revision >= step.revision) return false;
    this.steps.set(unitKey(step), step);
    this.changeCount += 1;
    this.lastRevision = Math.max(this.lastRevision, step.revision);
    return true;
  }

  snapshot(): ShiftSnapshot {
    return { revision: this.lastRevision, steps: this.allSteps() };
  }

  restore(snapshot: ShiftSnapshot): void {
    this.lastRevision = snapshot.revision;
    this.changeCount += 1;
    this.steps = new Map(snapshot.steps.map((step) => [unitKey(step), step]));
  }
}
