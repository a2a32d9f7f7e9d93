import type { Service, SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Fault } from '@buckthornlug/protocol/results/failure.js';

import { findServiceMoveFaults } from '../ledger/ledgerMoveFaults.js';

/** Maximum number of removed services that are stored; the oldest are dropped first. */
const maxRetiredServices = 10_000;

/** A removed service with its last content. */
export interface RetiredService {
  readonly serviceId: string;
  readonly service: Service;
}

/**
 * Removed services with once-only kinds. Their ledgers still hold identities, so a service that is
 * added again under the same id must look them up in the same ledger groups under the same keys.
 */
export class RetiredServices {
  private readonly services = new Map<string, Service>();

  /** Finds services that are added again with changes that would move their identities. */
  faults(after: SteeringDocument): Fault[] {
    const faults: Fault[] = [];
    for (const [serviceId, service] of this.services) {
      const restoredService = after.services[serviceId];
      if (restoredService !== undefined)
        faults.push(...findServiceMoveFaults(serviceId, service, restoredService));
    }
    return faults;
  }

  /** Records the services that an accepted change removes, and drops those that it adds again. */
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
