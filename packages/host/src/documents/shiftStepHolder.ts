import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/** Steps of shifts as a host learns of them. */
export interface ShiftStepHolder {
  /** Revision of the last step learned. */
  readonly revision: () => number;
  /** The last step of each unit. */
  readonly steps: () => readonly CommittedStep[];
  /** Calls back with the steps that are new; returns a function that ends it. */
  readonly onChange: (listener: (steps: readonly CommittedStep[]) => void) => () => void;
  /** Tells of steps; for the feature that receives them. */
  readonly put: (steps: readonly CommittedStep[], all: readonly CommittedStep[]) => void;
}

/** Creates a holder without steps. */
export function createShiftStepHolder(): ShiftStepHolder {
  const listeners = new Set<(steps: readonly CommittedStep[]) => void>();
  let held: readonly CommittedStep[] = [];
  return {
    revision: () => held.reduce((highest, step) => Math.max(highest, step.revision), 0),
    steps: () => held,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    put: (steps, all) => {
      held = all;
      for (const listener of listeners) listener(steps);
    },
  };
}
