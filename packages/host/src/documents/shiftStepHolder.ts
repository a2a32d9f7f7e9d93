import { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';

/** Shift steps that a host has received. */
export interface ShiftStepHolder {
  /** The last step of each unit. */
  readonly table: ShiftTable;
  /** Calls the listener after new steps; returns a function that unsubscribes it. */
  readonly onChange: (listener: () => void) => () => void;
  /** Notifies the listeners of new steps; called by the feature that receives steps. */
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
