import type { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CommittedStep, ShiftStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import type { ResultAsync } from 'neverthrow';

import type { DocumentInForce } from '../runtime/hostTypes.js';

/** Access of the shift planner to the control group; only on members of the group. */
export interface ShiftControl {
  /** Committed steps, as known to this member. */
  readonly table: ShiftTable;
  /** Accepted document, as known to this member. */
  readonly document: () => DocumentInForce | undefined;
  readonly isLeader: () => boolean;
  /** Commits a step; fails with BL8002 if the step is of an older plan. */
  readonly submitStep: (step: ShiftStep, timeoutMs: number) => ResultAsync<CommittedStep, Failure>;
}
