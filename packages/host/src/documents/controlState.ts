import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';

/** Committed state of the control group as a member holds it. */
export interface ControlStateSource {
  /** Everything that a host lacks which has come as far as stated. */
  readonly updateSince: (have: ControlVersions) => ControlUpdate;
  /** Whether this member knows a leader of the group. */
  readonly hasLeader: () => boolean;
  /** Calls back after a commit; returns a function that ends it. */
  readonly onChange: (listener: () => void) => () => void;
}
