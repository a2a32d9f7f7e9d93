import type { PoolCall } from '@buckthornlug/core/pools/poolTypes.js';
import type { BackendSlots } from '@buckthornlug/core/slots/backendSlots.js';
import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';
import type { PendingCall, Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

/** Where a call may run. */
export type CallReach = 'homeOnly' | 'anywhere' | 'otherZones' | 'otherRegions';

/** A call that waits for a place. */
export interface WaitingCall extends PoolCall {
  readonly pending: PendingCall;
  readonly reach: CallReach;
  /** Whether the call has its answer, such as after a hang-up. */
  readonly isSettled: () => boolean;
  /** Answers the call; further answers are ignored. */
  readonly resolve: (placement: Placement) => void;
}

/** A backend server that announced itself to this host. */
export interface KnownBackend {
  readonly slots: BackendSlots;
  announcement: Announcement;
  /** Time of the last announcement. */
  lastAnnouncedAtMs: number;
  /** Time of the last whole answer to a call of this host. */
  lastAnswerAtMs: number;
  /** Whether this host was seen to hold the lease. */
  isLeaseHeld: boolean;
  /** Redirections to another host since `redirectsSinceMs`. */
  redirects: number;
  redirectWindowStartMs: number;
}
