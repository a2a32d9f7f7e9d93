import type { Service, SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Fault } from '@buckthornlug/protocol/results/failure.js';

import { findServiceMoveFaults } from '../ledger/ledgerMoveFaults.js';

/** Removed services that are remembered; the oldest goes first. */
const maxRetiredServices = 10_000;

/** A service as it stood when it was removed. */
export interface RetiredService {
  readonly serviceId: string;
  readonly service: Service;
}

/**
 * Remembers removed services with once-only work, since their ledgers still hold identities: a
 * service that comes back under its name must look for them in the same place.
 */
export class RetiredServices {
  private readonly services = new Map<string, Service>();

  /** Faults of services that come back with another place for their identities. */
  faults(after: SteeringDocument): Fault[] {
    const faults: Fault[] = [];
    for (const [serviceId, service] of this.services) {
      const restoredService = after.services[serviceId];
      if (restoredService !== undefined)
        faults.push(...findServiceMoveFaults(serviceId, service, restoredService));
    }
    return faults;
  }

  /** Notes an accepted change. */
  recordChange(before: SteeringDocument | undefined, after: SteeringDocument): void {
    if (before?.services === after.services) return;
    for (const serviceId of this.services.keys()) {
      if (after.services[serviceId] !== undefined) this.services.delete(serviceId);
    }
    for (const [serviceId, service] of Object.entries(before?.services ?? {})) {
      const isRemoved = after.services[serviceId] === undefined;
      if (!isRemoved || !service.kinds.some(({ execution }) => execution === 'once')) continue;
      this.services.set(serviceId, service);
      const [oldest] = this.services.keys();
      if (this.services.size > maxRetiredServices && oldest !== undefined) {
        this.services.delete(oldest);
      }
    }
  }

  snapshot(): readonly RetiredService[] {
    return [...this.services].map(([serviceId, service]) => ({ serviceId, service }));
  }

  restore(retired: readonly RetiredService[]): void {
    this.services.clear();
    for (const { serviceId, service } of retired) this.services.set(serviceId, service);
  }
}
