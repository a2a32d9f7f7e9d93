import { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';

/** Steps of shifts that a host has learned of. */
export interface ShiftStepHolder {
  /** The last step of each unit. */
  readonly table: ShiftTable;
  /** Calls back after new steps; returns a function that ends it. */
  readonly onChange: (listener: () => void) => () => void;
  /** Tells of new steps in the table; for the feature that receives them. */
  readonly changed: () => void;
}

/** Creates a holder without steps. */
export function createShiftStepHolder(): ShiftStepHolder {
  const listeners = new Set<() => void>();
  return {
    table: new ShiftTable(),
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    changed: () => {
      for (const listener of listeners) listener();
    },
  };
}
