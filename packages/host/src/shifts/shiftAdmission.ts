import { maxObservationGapMs, ShiftLimiter } from '@buckthornlug/core/shifts/shiftLimiter.js';
import { computeZoneQuota, type ShiftQuota } from '@buckthornlug/core/shifts/shiftQuota.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { DocumentInForce, DocumentView, HostContext } from '../runtime/hostTypes.js';

/** Time beyond the slot lease for which a new pool owner admits no shifted call. */
const takeoverDelayMs = 1000;
/** Largest difference between the delays of two calls on their way to a backend server. */
const delayVariationMs = 100;

/** Limiters of a service: on arrival, so that the queue stays short, and on dispatch. */
interface ServiceLimiters {
  readonly arrivals: ShiftLimiter;
  readonly dispatches: ShiftLimiter;
}

/** What the admission of shifted calls is given. */
export interface ShiftAdmissionParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'metrics'>;
  readonly document: Pick<DocumentView, 'current'>;
  /** Host that owns the pool of a service in a zone; undefined where not known. */
  readonly poolOwner: (availabilityZone: string, service: string) => string | undefined;
  /** A value that differs once owners of pools of the own zone may have changed. */
  readonly ownersVersion: () => number | string;
}

/**
 * Admits calls of other regions on the pool owner that would run them. Its part of the region's cap
 * is fixed, so that the zones together stay below the cap whatever the senders believe.
 */
export class ShiftAdmission {
  private readonly limiters = new Map<string, ServiceLimiters>();

  private inForce: DocumentInForce | undefined;

  private ownersVersion: number | string | undefined;

  private observedAtMs: number;

  constructor(private readonly parts: ShiftAdmissionParts) {
    this.observedAtMs = parts.context.clock.nowMs();
  }

  /**
   * Follows the document and the owners of pools; to be called more often than each 250 ms. Services
   * are walked only where one of these has changed or the process was paused; the limiters learn of
   * the time without a pause when they are used next.
   */
  observe(): void {
    const nowMs = this.parts.context.clock.nowMs();
    const wasPaused = nowMs - this.observedAtMs > maxObservationGapMs;
    if (this.detectChanges() || wasPaused) this.refreshAllLimiters();
    this.observedAtMs = nowMs;
  }

  /** Admits a call to the queue, or tells why it is refused as not run. */
  readonly admitShifted = (service: string, fromRegion: string): Failure | undefined => {
    const refusal = this.admit(this.refreshLimiters(service)?.arrivals, fromRegion);
    const labels = { service, fromRegion, admitted: String(refusal === undefined) };
    this.parts.context.metrics.count('shifted_calls_total', labels);
    return refusal;
  };

  /** Admits a call to the backend server that it is about to go to, after any time in a queue. */
  readonly dispatchShifted = (service: string, fromRegion: string): Failure | undefined =>
    this.admit(this.refreshLimiters(service)?.dispatches, fromRegion);

  /** Returns whether the document or the owners of pools may differ from those of the last walk. */
  private detectChanges(): boolean {
    const { inForce, ownersVersion } = this;
    this.inForce = this.parts.document.current();
    this.ownersVersion = this.parts.ownersVersion();
    return inForce !== this.inForce || ownersVersion !== this.ownersVersion;
  }

  private refreshAllLimiters(): void {
    const services = this.inForce?.document.services ?? {};
    for (const service of Object.keys(services)) this.refreshLimiters(service);
    for (const service of this.limiters.keys()) {
      if (services[service] === undefined) this.limiters.delete(service);
    }
  }

  private admit(limiter: ShiftLimiter | undefined, fromRegion: string): Failure | undefined {
    const nowMs = this.parts.context.clock.nowMs();
    if (limiter?.admit(nowMs)) return undefined;
    const retryAfterMs = limiter?.retryAfterMs(nowMs) ?? takeoverDelayMs;
    return failure('BL8001', `region "${fromRegion}" sends too much`, { retryAfterMs });
  }

  /** The limiters of a service; none where another host owns the pool. */
  private refreshLimiters(service: string): ServiceLimiters | undefined {
    const { context, poolOwner } = this.parts;
    const { hostId, availabilityZone } = context.settings;
    const owner = poolOwner(availabilityZone, service);
    const isOwner = owner === undefined || owner === hostId;
    const quota = isOwner ? this.computeQuota(service) : undefined;
    if (quota === undefined) {
      this.limiters.delete(service);
      return undefined;
    }
    const nowMs = context.clock.nowMs();
    const known = this.limiters.get(service) ?? this.addLimiters(service, quota, nowMs);
    for (const limiter of [known.arrivals, known.dispatches]) {
      limiter.markRunningUntil(this.observedAtMs);
      limiter.observe(nowMs);
      limiter.change(quota, nowMs);
    }
    return known;
  }

  private addLimiters(service: string, quota: ShiftQuota, nowMs: number): ServiceLimiters {
    const minClosedMs = this.parts.context.settings.timing.slotLeaseMs + takeoverDelayMs;
    const create = () => new ShiftLimiter(quota, nowMs, minClosedMs, delayVariationMs);
    const created = { arrivals: create(), dispatches: create() };
    this.limiters.set(service, created);
    return created;
  }

  private computeQuota(service: string): ShiftQuota | undefined {
    const { region, availabilityZone } = this.parts.context.settings;
    const document = this.parts.document.current()?.document;
    const cap = document?.traffic[service]?.shiftCap.maxShiftedCallsPerS;
    const zones = document?.network.regions.find((each) => each.id === region)?.availabilityZones;
    if (cap === undefined || zones === undefined) return undefined;
    return computeZoneQuota(cap, zones, availabilityZone);
  }
}
