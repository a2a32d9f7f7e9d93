import type { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CommittedStep, ShiftStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import type { ResultAsync } from 'neverthrow';

import type { DocumentInForce } from '../runtime/hostTypes.js';

/** The control group as the shifts see it, on its members. */
export interface ShiftControl {
  /** Steps that are committed, as this member knows them. */
  readonly table: ShiftTable;
  /** The accepted document, as this member knows it. */
  readonly document: () => DocumentInForce | undefined;
  readonly isLeader: () => boolean;
  /** Commits a step; BL8002 for a step of an older plan. */
  readonly submitStep: (step: ShiftStep, timeoutMs: number) => ResultAsync<CommittedStep, Failure>;
}
