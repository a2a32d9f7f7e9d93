import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';

/** Committed state of the control group, as replicated on a member. */
export interface ControlStateSource {
  /** Everything that a host with the given versions lacks. */
  readonly updateSince: (have: ControlVersions) => ControlUpdate;
  /** Time since the moment before which this member holds all that was committed, in milliseconds. */
  readonly stateAgeMs: () => number;
  /** Calls the listener after each commit; returns a function that unsubscribes it. */
  readonly onChange: (listener: () => void) => () => void;
}
