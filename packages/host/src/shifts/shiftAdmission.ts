import { maxObservationGapMs, ShiftLimiter } from '@buckthornlug/core/shifts/shiftLimiter.js';
import { computeZoneQuota, type ShiftQuota } from '@buckthornlug/core/shifts/shiftQuota.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { DocumentInForce, DocumentView, HostContext } from '../runtime/hostTypes.js';

/** Time beyond the slot lease for which a new pool owner admits no shifted call. */
const takeoverDelayMs = 1000;
/** Largest difference between the delays of two calls in transit to a backend server. */
const delayVariationMs = 100;

/** Limiters of a service: on arrival, to keep the queue short, and on dispatch. */
interface ServiceLimiters {
  readonly arrivals: ShiftLimiter;
  readonly dispatches: ShiftLimiter;
}

/** Dependencies of `ShiftAdmission`. */
export interface ShiftAdmissionParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'metrics'>;
  readonly document: Pick<DocumentView, 'current'>;
  /** Host that owns the pool of a service in a zone; undefined if unknown. */
  readonly poolOwner: (availabilityZone: string, service: string) => string | undefined;
  /** Value that changes whenever pool owners of the own zone may have changed. */
  readonly ownersVersion: () => number | string;
}

/**
 * Admits calls of other regions on the pool owner that would run them. Each zone has a fixed quota
 * of the region's cap, so that the zones together stay within the cap whatever the senders assume.
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
   * Applies changes of the document and of pool owners, and detects pauses of the process; must be
   * called more often than every 250 ms. The limiters of all services are refreshed only after such
   * a change or pause; otherwise each limiter is brought up to date when it is used next.
   */
  observe(): void {
    const nowMs = this.parts.context.clock.nowMs();
    const wasPaused = nowMs - this.observedAtMs > maxObservationGapMs;
    if (this.detectChanges() || wasPaused) this.refreshAllLimiters();
    this.observedAtMs = nowMs;
  }

  /** Admits a call to the queue, or returns its refusal; a refused call has not run. */
  readonly admitShifted = (service: string, fromRegion: string): Failure | undefined => {
    const refusal = this.admit(this.refreshLimiters(service)?.arrivals, fromRegion);
    const labels = { service, fromRegion, admitted: String(refusal === undefined) };
    this.parts.context.metrics.count('shifted_calls_total', labels);
    return refusal;
  };

  /** Admits a call at its dispatch to a backend server, after its time in the queue. */
  readonly dispatchShifted = (service: string, fromRegion: string): Failure | undefined =>
    this.admit(this.refreshLimiters(service)?.dispatches, fromRegion);

  /** Whether the document or pool owners may have changed since the last check. */
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
    return failure('BL8001', `no quota left for calls of region "${fromRegion}"`, { retryAfterMs });
  }

  /** Brings the limiters of a service up to date; undefined if another host owns the pool. */
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
