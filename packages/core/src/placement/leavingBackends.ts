import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';

/**
 * Backend servers that announced in an answer that they are leaving. The announcement reaches this
 * host before the registry does, and holds whatever the registry says of the same incarnation: a
 * record that was committed before the announcement may arrive after it.
 */

/** Incarnations remembered; the oldest announcement is forgotten first. */
const maxRemembered = 4096;

type Incarnation = Pick<RegisteredBackend, 'backendId' | 'bornAtMs'>;

/** Incarnations of backend servers that have announced their departure to this host. */
export class LeavingBackends {
  private readonly bornAtMsById = new Map<string, number>();

  /**
   * Records an announcement.
   *
   * @returns whether it is the first one of this incarnation
   */
  record(backend: Incarnation): boolean {
    if (this.isLeaving(backend)) return false;
    this.bornAtMsById.delete(backend.backendId);
    this.bornAtMsById.set(backend.backendId, backend.bornAtMs);
    if (this.bornAtMsById.size > maxRemembered) {
      const [oldest] = this.bornAtMsById.keys();
      if (oldest !== undefined) this.bornAtMsById.delete(oldest);
    }
    return true;
  }

  /** Whether this incarnation, or a later one under the same ID, has announced its departure. */
  isLeaving({ backendId, bornAtMs }: Incarnation): boolean {
    const leavingBornAtMs = this.bornAtMsById.get(backendId);
    return leavingBornAtMs !== undefined && bornAtMs <= leavingBornAtMs;
  }
}
