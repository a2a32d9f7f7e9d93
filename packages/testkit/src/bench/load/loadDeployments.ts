import type { FleetPlan } from './loadFleet.js';
import type { KindShare } from './loadRun.js';

/** Sizes and kinds of work of the two deployments of today. */

/** A deployment with the shares of its kinds in the calls of each service. */
export interface LoadDeployment {
  readonly name: string;
  readonly fleet: Omit<FleetPlan, 'hosts' | 'seed'>;
  /** Kinds at a load of 1: the loads of a service add up to 1. */
  readonly shares: readonly KindShare[];
}

export const trekpole: LoadDeployment = {
  name: 'trekpole',
  fleet: {
    example: 'trekpole',
    services: [
      { service: 'parts-desk', slots: 3, backendsPerZone: [4, 4, 4, 4, 4, 4] },
      { service: 'restock-ledger', slots: 3, backendsPerZone: [2, 2, 2, 2, 2, 2] },
    ],
  },
  shares: [
    { service: 'parts-desk', kind: 'stock', method: 'GET', path: '/stock/7', load: 0.25 },
    { service: 'parts-desk', kind: 'reserve', method: 'POST', path: '/reservations', load: 0.15 },
    { service: 'parts-desk', kind: 'browse', method: 'GET', path: '/poles', load: 0.4 },
    { service: 'parts-desk', kind: 'report', method: 'POST', path: '/reports', load: 0.2 },
    { service: 'restock-ledger', kind: 'bulk-order', method: 'POST', path: '/orders', load: 0.5 },
    { service: 'restock-ledger', kind: 'order-status', method: 'GET', path: '/status', load: 0.5 },
  ],
};

export const offcutMates: LoadDeployment = {
  name: 'offcut-mates',
  fleet: {
    example: 'offcut-mates',
    services: [
      { service: 'yardboard', slots: 6, backendsPerZone: [6, 6, 6, 6, 5, 5] },
      { service: 'truckslot', slots: 3, backendsPerZone: [2, 2, 2, 2, 2, 2] },
    ],
  },
  shares: [
    { service: 'yardboard', kind: 'claim', method: 'POST', path: '/claims', load: 0.4 },
    { service: 'yardboard', kind: 'listing', method: 'GET', path: '/lots', load: 0.6 },
    { service: 'truckslot', kind: 'book', method: 'POST', path: '/bookings', load: 0.5 },
    { service: 'truckslot', kind: 'availability', method: 'GET', path: '/days', load: 0.5 },
  ],
};

/**
 * Multiplies the shares of a deployment.
 *
 * @param shares - shares at a load of 1
 * @param load - offered load over all slots
 */
export function atLoad(shares: readonly KindShare[], load: number): KindShare[] {
  return shares.map((share) => ({ ...share, load: share.load * load }));
}
