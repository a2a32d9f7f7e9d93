import type { Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { CallReach } from './slotsTypes.js';

/** Place of a call at a host of another availability zone. */
export type HostPlace = Extract<Placement, { readonly place: 'host' }>;

/** What was decided on a call before it asked for its place. */
export interface Reservation {
  /** Where the call may run, by the shifts. */
  readonly reach: CallReach;
  /** Place by a credit, for a call that gets no slot at home. */
  readonly place?: HostPlace;
  /** Ends the claim on a place in line at home. */
  readonly endForecast?: () => void;
  /** Gives back a credit that was not used. */
  readonly returnCredit?: () => void;
}

/** Calls whose place was foreseen and that have not asked for it yet. */
export class Reservations {
  private readonly byRequest = new Map<string, Reservation>();

  /** Keeps the reservation of a call. */
  add(requestId: string, reservation: Reservation): void {
    this.drop(requestId);
    this.byRequest.set(requestId, reservation);
  }

  /** Takes the reservation of a call that asks for its place. */
  take(requestId: string): Reservation | undefined {
    const reservation = this.byRequest.get(requestId);
    if (reservation === undefined) return undefined;
    this.byRequest.delete(requestId);
    reservation.endForecast?.();
    return reservation;
  }

  /** Ends the reservation of a call that will not ask for its place; others change nothing. */
  drop(requestId: string): void {
    this.take(requestId)?.returnCredit?.();
  }
}
