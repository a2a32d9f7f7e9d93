import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';

/** Timing of the lease on the slots of a backend server. */
export interface LeaseTiming {
  /** Lifetime of a lease, counted from when the host sent the echoed token. */
  readonly leaseMs: number;
  /** Time before the end of the lease at which dispatch stops, for calls on their way. */
  readonly guardMs: number;
  /** Longest time that calls of the former owner can still run after its lease. */
  readonly formerOwnerCallMs: number;
  /** Time in which a new backend server ramps up to all its slots. */
  readonly slowStartMs: number;
}

/** Token that a host sent to the backend server in a reply. */
export interface IssuedToken {
  readonly token: string;
  readonly sentAtMs: number;
}

/** State that a backend server announces. */
export type BackendState = Announcement['state'];
