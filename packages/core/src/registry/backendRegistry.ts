import type {
  BackendReport,
  RegisteredBackend,
} from '@buckthornlug/protocol/registry/registrySchema.js';

/** Registry of backend servers that the control group commits. */

/** Maximum records kept of gone backend servers, so that late reports do not bring them back. */
const maxGoneRecords = 2000;

/** Registers a backend server or changes its state. */
export interface NoteBackendCommand {
  readonly type: 'noteBackend';
  readonly report: BackendReport;
  /** Wall time at which the receiving host got the report. */
  readonly atMs: number;
}

/** Takes a backend server that left or fell silent out of service. */
export interface RemoveBackendCommand {
  readonly type: 'removeBackend';
  readonly backendId: string;
  readonly reason: 'left' | 'silent';
  /** Incarnation to remove; the current one if absent. */
  readonly bornAtMs?: number;
}

/** Reply to a command about a backend server. */
export interface RegistryReply {
  readonly registryRevision: number;
}

/** State of the registry in a snapshot. */
export interface RegistrySnapshot {
  readonly revision: number;
  readonly backends: readonly RegisteredBackend[];
}

function endpointKey({ endpoint }: Pick<RegisteredBackend, 'endpoint'>): string {
  return `${endpoint.address}:${endpoint.port}`;
}

/** Holds one record per backend server; of two at one address the younger replaces the older. */
export class BackendRegistry {
  private backends = new Map<string, RegisteredBackend>();

  private idByEndpoint = new Map<string, string>();

  private lastRevision = 0;

  revision(): number {
    return this.lastRevision;
  }

  /** All records, those of backend servers that have left included. */
  records(): Iterable<RegisteredBackend> {
    return this.backends.values();
  }

  find(backendId: string): RegisteredBackend | undefined {
    return this.backends.get(backendId);
  }

  /**
   * Records changed after a revision, earliest change first. Records of gone backend servers are
   * included.
   *
   * @param limit - maximum number of records
   */
  changedSince(revision: number, limit = Number.POSITIVE_INFINITY): RegisteredBackend[] {
    return [...this.backends.values()]
      .filter((backend) => backend.revision > revision)
      .sort((left, right) => left.revision - right.revision)
      .slice(0, limit);
  }

  /**
   * Whether a report changes the registry. A draining backend server stays draining for the life of
   * its process, and a gone one does not return; a silent one does.
   *
   * @param nowMs - wall time
   */
  isChange(report: BackendReport, nowMs: number): boolean {
    const known = this.backends.get(report.backendId);
    if (known === undefined || known.bornAtMs < report.bornAtMs) {
      return !this.isSuperseded(report);
    }
    if (known.bornAtMs > report.bornAtMs || known.state === 'gone') return false;
    if (known.state === 'silent') {
      return report.sequence > known.sequence && !this.isSuperseded(report);
    }
    if (known.state === 'ready' && report.state === 'draining') return true;
    return known.state === 'ready' && report.coldForMs > 0 && known.coldUntilMs < nowMs;
  }

  recordReport({ report, atMs }: NoteBackendCommand): RegistryReply {
    if (this.isChange(report, atMs)) {
      this.markFormerGone(report);
      const { coldForMs, ...reportFields } = report;
      this.store({
        ...reportFields,
        coldUntilMs: coldForMs > 0 ? atMs + coldForMs : 0,
        revision: 0,
      });
    }
    return { registryRevision: this.lastRevision };
  }

  remove({ backendId, bornAtMs, reason }: RemoveBackendCommand): RegistryReply {
    const known = this.backends.get(backendId);
    if (known !== undefined && bornAtMs !== undefined && bornAtMs > known.bornAtMs) {
      // The report of a later incarnation has not arrived, and must not register it any more.
      this.store({ ...known, bornAtMs, state: 'gone' });
      return { registryRevision: this.lastRevision };
    }
    const isMatchingProcess =
      known !== undefined && (bornAtMs ?? known.bornAtMs) === known.bornAtMs;
    if (isMatchingProcess && known.state !== 'gone') {
      // A draining backend server that falls silent has ended.
      const state = reason === 'left' || known.state === 'draining' ? 'gone' : 'silent';
      if (state !== known.state) this.store({ ...known, state });
    }
    return { registryRevision: this.lastRevision };
  }

  snapshot(): RegistrySnapshot {
    return { revision: this.lastRevision, backends: [...this.backends.values()] };
  }

  restore(snapshot: RegistrySnapshot | undefined): void {
    this.lastRevision = snapshot?.revision ?? 0;
    this.backends = new Map();
    this.idByEndpoint = new Map();
    for (const backend of snapshot?.backends ?? []) {
      this.backends.set(backend.backendId, backend);
      if (backend.state !== 'gone') this.idByEndpoint.set(endpointKey(backend), backend.backendId);
    }
  }

  /** Whether a younger process is registered at the address of the report. */
  private isSuperseded(report: BackendReport): boolean {
    const holder = this.backends.get(this.idByEndpoint.get(endpointKey(report)) ?? '');
    return holder !== undefined && holder.bornAtMs > report.bornAtMs;
  }

  private markFormerGone(report: BackendReport): void {
    const formerId = this.idByEndpoint.get(endpointKey(report));
    if (formerId === undefined || formerId === report.backendId) return;
    const former = this.backends.get(formerId);
    if (former !== undefined) this.store({ ...former, state: 'gone' });
  }

  private store(record: RegisteredBackend): void {
    this.lastRevision += 1;
    // Moves an updated record to the end, so that records stay ordered by revision.
    this.backends.delete(record.backendId);
    this.backends.set(record.backendId, { ...record, revision: this.lastRevision });
    const key = endpointKey(record);
    if (record.state !== 'gone') this.idByEndpoint.set(key, record.backendId);
    else if (this.idByEndpoint.get(key) === record.backendId) this.idByEndpoint.delete(key);
    if (record.state === 'gone') this.evictOldestGone();
  }

  private evictOldestGone(): void {
    let gone = 0;
    for (const { state } of this.backends.values()) gone += Number(state === 'gone');
    if (gone <= maxGoneRecords) return;
    for (const [backendId, { state }] of this.backends) {
      if (state !== 'gone') continue;
      this.backends.delete(backendId);
      return;
    }
  }
}
