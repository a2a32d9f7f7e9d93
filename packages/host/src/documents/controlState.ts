import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';

/** Committed state of the control group, as replicated on a member. */
export interface ControlStateSource {
  /** Everything that a host with the given versions lacks. */
  readonly updateSince: (have: ControlVersions) => ControlUpdate;
  /** Whether this member knows the leader of the group. */
  readonly hasLeader: () => boolean;
  /** Calls the listener after each commit; returns a function that unsubscribes it. */
  readonly onChange: (listener: () => void) => () => void;
}
