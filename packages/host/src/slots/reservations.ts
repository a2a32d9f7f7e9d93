import type { Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { CallReach } from './slotsTypes.js';

/** Placement of a call on another host. */
export type HostPlace = Extract<Placement, { readonly place: 'host' }>;

/** Decisions on a call that were made before its placement was requested. */
export interface Reservation {
  /** Where the call may run, as chosen from the shifts. */
  readonly reach: CallReach;
  /** Placement with a credit, for a call that gets no slot in its own zone. */
  readonly place?: HostPlace;
  /** Ends the forecast that counts the call as expected in the local pool. */
  readonly endForecast?: () => void;
  /** Returns an unused credit. */
  readonly returnCredit?: () => void;
}

/** Reservations of calls whose placement has not been requested yet. */
export class Reservations {
  private readonly byRequest = new Map<string, Reservation>();

  /** Stores the reservation of a call; an earlier one of the same call is dropped. */
  add(requestId: string, reservation: Reservation): void {
    this.drop(requestId);
    this.byRequest.set(requestId, reservation);
  }

  /** Removes and returns the reservation of a call whose placement is requested. */
  take(requestId: string): Reservation | undefined {
    const reservation = this.byRequest.get(requestId);
    if (reservation === undefined) return undefined;
    this.byRequest.delete(requestId);
    reservation.endForecast?.();
    return reservation;
  }

  /** Drops the reservation of a call that has ended; no effect if its placement was requested. */
  drop(requestId: string): void {
    this.take(requestId)?.returnCredit?.();
  }
}
