import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { CommittedStep, ShiftStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

import type { ShiftTable } from './shiftTable.js';
import { computeShiftTargets, type ShiftTarget } from './shiftTargets.js';

/** State of the cluster, as the leader sees it, from which steps are planned. */
export interface ShiftPlanInput {
  readonly document: SteeringDocument;
  readonly documentVersion: number;
  readonly table: ShiftTable;
  /** Regions without a living host. */
  readonly failedRegions: ReadonlySet<string>;
  /**
   * Monotonic time at which this leader first knew that every living host held the step; undefined
   * while one lacks it.
   */
  readonly acknowledgedAtMs: (step: CommittedStep) => number | undefined;
  readonly nowMs: number;
}

/** A unit that has not reached its target and may not move yet. */
export interface HeldShift {
  readonly target: ShiftTarget;
  readonly reason: 'notAcknowledged' | 'interval';
}

/** The steps that may be committed now, and the units that must wait. */
export interface ShiftPlan {
  readonly steps: readonly ShiftStep[];
  readonly held: readonly HeldShift[];
}

function clamp(value: number, bound: number): number {
  return Math.max(-bound, Math.min(bound, value));
}

function findHeldReason(
  input: ShiftPlanInput,
  last: CommittedStep | undefined,
  stepIntervalMs: number,
): HeldShift['reason'] | undefined {
  if (last === undefined) return undefined;
  const acknowledgedAtMs = input.acknowledgedAtMs(last);
  if (acknowledgedAtMs === undefined) return 'notAcknowledged';
  return input.nowMs < acknowledgedAtMs + stepIntervalMs ? 'interval' : undefined;
}

function buildNextStep(
  input: ShiftPlanInput,
  target: ShiftTarget,
  last: CommittedStep | undefined,
  stepPermille: number,
): ShiftStep {
  const { documentVersion } = input;
  const movedPermille = last?.movedPermille ?? 0;
  const change = clamp(target.movedPermille - movedPermille, stepPermille);
  const number = last?.documentVersion === documentVersion ? last.number + 1 : 1;
  return { ...target, documentVersion, number, movedPermille: movedPermille + change };
}

/** Targets that their units have not reached yet. */
function findOpenTargets(input: ShiftPlanInput): ShiftTarget[] {
  const { document, failedRegions, table } = input;
  return computeShiftTargets(document, failedRegions).filter(
    (target) => table.movedPermille(target) !== target.movedPermille,
  );
}

function planTargets(input: ShiftPlanInput, targets: readonly ShiftTarget[]): ShiftPlan {
  const steps: ShiftStep[] = [];
  const held: HeldShift[] = [];
  for (const target of targets) {
    const cap = input.document.traffic[target.service]?.shiftCap;
    if (cap === undefined) continue;
    const last = input.table.find(target);
    const reason = findHeldReason(input, last, cap.stepIntervalMs);
    if (reason === undefined) steps.push(buildNextStep(input, target, last, cap.stepPermille));
    else held.push({ target, reason });
  }
  return { steps, held };
}

/**
 * Plans the next step of each unit. Whatever the cause of the shift, a step is at most
 * `stepPermille` large, and it follows the acknowledgement of the unit's last step after
 * `stepIntervalMs` at the earliest.
 */
export function planShifts(input: ShiftPlanInput): ShiftPlan {
  return planTargets(input, findOpenTargets(input));
}

/**
 * Plans like `planShifts`, but recomputes the open targets only after the document, the failed
 * regions or the committed steps have changed.
 */
export class ShiftPlanner {
  /** Targets that were not reached at the last change of the inputs. */
  private open: readonly ShiftTarget[] = [];

  private inputsKey: string | undefined;

  private document: SteeringDocument | undefined;

  private table: ShiftTable | undefined;

  /** Plans the next step of each unit. */
  plan(input: ShiftPlanInput): ShiftPlan {
    const { document, failedRegions, table } = input;
    const inputsKey = `${table.changes} ${[...failedRegions].sort().join(' ')}`;
    const isUnchanged =
      document === this.document && table === this.table && inputsKey === this.inputsKey;
    if (!isUnchanged) this.open = findOpenTargets(input);
    this.document = document;
    this.table = table;
    this.inputsKey = inputsKey;
    return planTargets(input, this.open);
  }
}
