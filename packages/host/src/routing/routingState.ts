import { compileRoutes, type RouteTable } from '@buckthornlug/core/routing/routeTable.js';
import { applyRoutingChanges } from '@buckthornlug/core/routing/routingChanges.js';
import type { EvacuationRecord } from '@buckthornlug/core/routing/routingStore.js';
import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';
import type { RoutingInForce } from '@buckthornlug/protocol/routing/routingSchema.js';

import type { Clock } from '../runtime/hostTypes.js';
import { TrustedTimes } from '../runtime/trustedTimes.js';
import type { RoutingUpdate, RoutingPosition } from './routingPollSchema.js';

/** Routing document, evacuations and registered backend servers, as an entry host holds them. */
export class RoutingState {
  /** Compiled document in force; undefined until the first one has arrived. */
  table: RouteTable | undefined;

  readonly backends = new Map<string, RegisteredBackend>();

  private document: RoutingInForce | undefined;

  private evacuations = new Map<string, EvacuationRecord>();

  private held: RoutingPosition = {
    routingVersion: -1,
    evacuationRevision: 0,
    registryRevision: 0,
  };

  /** Monotonic time of this host minus the wall time of the control host that answered last. */
  private clockOffsetMs = 0;

  /** All that was committed before this monotonic time is held. */
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  private readonly times: TrustedTimes;

  constructor(private readonly clock: Pick<Clock, 'nowMs' | 'onBreak'>) {
    this.times = new TrustedTimes(clock);
  }

  /**
   * Records that a control host has confirmed the state held.
   *
   * @param atMs - monotonic time before which everything committed is held
   */
  confirm(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /**
   * Time for which the state held has not been confirmed; infinite before the first confirmation, and after a
   * break of the clock.
   */
  unconfirmedMs(): number {
    if (!this.times.isTrusted(this.confirmedAtMs)) return Number.POSITIVE_INFINITY;
    return this.clock.nowMs() - this.confirmedAtMs;
  }

  position(): RoutingPosition {
    return this.held;
  }

  /**
   * Applies the parts of an update that are newer than the state held.
   *
   * @returns whether anything has changed
   */
  apply(update: RoutingUpdate): boolean {
    const { position, evacuations, backends, wallMs } = update;
    this.clockOffsetMs = this.clock.nowMs() - wallMs;
    let hasChanged = false;
    const document = this.documentOf(update);
    if (document !== undefined && document.version > this.held.routingVersion) {
      this.document = document;
      this.table = compileRoutes(document);
      this.held = { ...this.held, routingVersion: document.version };
      hasChanged = true;
    }
    if (evacuations !== undefined && position.evacuationRevision > this.held.evacuationRevision) {
      this.evacuations = new Map(evacuations.map((one) => [one.availabilityZone, one]));
      this.held = { ...this.held, evacuationRevision: position.evacuationRevision };
      hasChanged = true;
    }
    // An answer that comes late may name backend servers that have left since, and are held no more.
    const { registryRevision: heldRevision } = this.held;
    const newer = backends.filter(({ revision }) => revision > heldRevision);
    for (const record of newer) hasChanged = this.applyBackend(record) || hasChanged;
    if (position.registryRevision > this.held.registryRevision) {
      this.held = { ...this.held, registryRevision: position.registryRevision };
    }
    return hasChanged;
  }

  isEvacuated(availabilityZone: string): boolean {
    return this.evacuations.get(availabilityZone)?.isEvacuated === true;
  }

  /** Whether a backend server is ready and its zone is not evacuated. */
  isUsable({ state, availabilityZone }: RegisteredBackend): boolean {
    return state === 'ready' && !this.isEvacuated(availabilityZone);
  }

  /**
   * Monotonic time until which a backend server is cold. The end of the evacuation of a zone
   * starts a new cold period for its backend servers.
   */
  coldUntilMs({ coldUntilMs, availabilityZone, service }: RegisteredBackend): number {
    const evacuation = this.evacuations.get(availabilityZone);
    const coldStartMs = this.table?.services.get(service)?.coldStartMs ?? 0;
    const coldAfterEvacuationUntilMs =
      evacuation === undefined || evacuation.isEvacuated ? 0 : evacuation.atMs + coldStartMs;
    return Math.max(coldUntilMs, coldAfterEvacuationUntilMs) + this.clockOffsetMs;
  }

  /**
   * Document that an update brings; undefined if it brings none, or changes of a later version than the one held.
   * Changes since an earlier version have all that differs from any version in between.
   */
  private documentOf({ document, changes }: RoutingUpdate): RoutingInForce | undefined {
    const { document: held } = this;
    if (changes === undefined) return document;
    if (held === undefined || held.version < changes.baseVersion) return undefined;
    return held.version < changes.version ? applyRoutingChanges(held, changes) : undefined;
  }

  private applyBackend(record: RegisteredBackend): boolean {
    const known = this.backends.get(record.backendId);
    if (known !== undefined && known.revision >= record.revision) return false;
    if (record.state === 'gone') this.backends.delete(record.backendId);
    else this.backends.set(record.backendId, record);
    return true;
  }
}
