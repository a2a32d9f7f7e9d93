import type { PoolCall } from '@buckthornlug/core/pools/poolTypes.js';
import type { BackendSlots } from '@buckthornlug/core/slots/backendSlots.js';
import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';
import type { PendingCall, Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

/** Where a call may run. */
export type CallReach = 'homeOnly' | 'anywhere' | 'otherZones' | 'otherRegions';

/** A call that waits for its placement. */
export interface WaitingCall extends PoolCall {
  readonly pending: PendingCall;
  readonly reach: CallReach;
  /** Whether the call has been resolved, for example because its caller hung up. */
  readonly isSettled: () => boolean;
  /** Resolves the placement of the call; further invocations have no effect. */
  readonly resolve: (placement: Placement) => void;
}

/** A backend server that announced itself to this host. */
export interface KnownBackend {
  readonly slots: BackendSlots;
  announcement: Announcement;
  /** Time of the last announcement. */
  lastAnnouncedAtMs: number;
  /** Time of the last complete answer to a call of this host. */
  lastAnswerAtMs: number;
  /** Whether this host held the lease at the last check. */
  isLeaseHeld: boolean;
  /** Redirects to another host since `redirectWindowStartMs`. */
  redirects: number;
  redirectWindowStartMs: number;
}
