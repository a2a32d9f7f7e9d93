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

/** The last committed step of each unit. The control group and every host hold such a table. */
export class ShiftTable {
  private steps = new Map<string, CommittedStep>();

  private lastRevision = 0;

  private changeCount = 0;

  /** Number of steps committed so far. */
  get revision(): number {
    return this.lastRevision;
  }

  /** Counter that increases with every change of the table. */
  get changes(): number {
    return this.changeCount;
  }

  find(unit: ShiftUnit): CommittedStep | undefined {
    return this.steps.get(unitKey(unit));
  }

  /** Share of the traffic of a unit that runs elsewhere; 0 before its first step. */
  movedPermille(unit: ShiftUnit): number {
    return this.find(unit)?.movedPermille ?? 0;
  }

  allSteps(): CommittedStep[] {
    return [...this.steps.values()];
  }

  /** Steps that a host at the given revision lacks. */
  stepsSince(revision: number): CommittedStep[] {
    return this.allSteps().filter((step) => step.revision > revision);
  }

  /**
   * Commits a step on the control group.
   *
   * @param step - step proposed by a leader
   * @param limits - version and largest step of the document in force
   * @returns the committed step; BL8002 if the step is for another version of the document, out of
   * order or too large
   */
  commit(
    step: ShiftStep,
    limits: { readonly documentVersion: number; readonly stepPermille: number },
  ): Result<CommittedStep, Failure> {
    const last = this.find(step);
    if (step.documentVersion !== limits.documentVersion) {
      return err(
        failure(
          'BL8002',
          `the step is not for version ${limits.documentVersion} of the document, which is in force`,
        ),
      );
    }
    if (!isNextStep(step, last)) {
      return err(
        failure('BL8002', `step ${step.number} does not follow step ${last?.number ?? 0}`),
      );
    }
    const changePermille = Math.abs(step.movedPermille - (last?.movedPermille ?? 0));
    if (changePermille > limits.stepPermille) {
      return err(
        failure(
          'BL8002',
          `${changePermille} permille exceed the largest step of ${limits.stepPermille} permille`,
        ),
      );
    }
    this.lastRevision += 1;
    this.changeCount += 1;
    const committed = { ...step, revision: this.lastRevision };
    this.steps.set(unitKey(step), committed);
    return ok(committed);
  }

  /**
   * Applies a step that another process committed.
   *
   * @param step - committed step
   * @returns whether the step was newer than the one in the table
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
