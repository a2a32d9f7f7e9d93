import {
  CreditDemand,
  type ZoneCreditRequest,
  type RankPressure,
} from '@buckthornlug/core/credits/creditDemand.js';
import { CreditIssuer } from '@buckthornlug/core/credits/creditIssuer.js';
import { HeldCredits, type HeldCredit } from '@buckthornlug/core/credits/heldCredits.js';
import type { RemoteZone } from '@buckthornlug/core/credits/remoteZones.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { PoolTask } from './poolTask.js';
import type { HostPlace } from './reservations.js';
import type { RemoteLinks } from './remoteLinks.js';
import type { CreditGrant, CreditRequest } from './slotsSchema.js';
import type { WaitingCall } from './slotsTypes.js';

/** Share of the time left until its target that a call may wait for a credit. */
const maxCreditWaitShare = 0.5;
const creditMarginMs = 15;
/** Share of the target within which a call must reach a slot. */
const maxWaitShare = 0.85;
const emptyGrant: CreditGrant = { creditIds: [], ttlMs: 0, expectedWaitMs: 0 };

/** Credits of one pool: those granted to other zones, and those requested from them. */
export class CreditTask {
  private readonly issuer = new CreditIssuer();

  private readonly heldCredits = new HeldCredits();

  private readonly demand = new CreditDemand();

  private lastCreditNumber = 0;

  /**
   * @param task - the pool
   * @param parts - document, membership and clients of other hosts
   * @param links - other zones and the links to them
   */
  constructor(
    private readonly task: PoolTask,
    private readonly context: HostContext,
    private readonly parts: HostParts,
    private readonly links: RemoteLinks,
  ) {}

  /** Grants credits to another zone, possibly none. */
  grant(request: CreditRequest): CreditGrant {
    const nowMs = this.context.clock.nowMs();
    const { pool } = this.task;
    const { rank } = request;
    const usableSlots = pool.usableSlots(nowMs);
    const expectedWaitMs = pool.expectedWaitMs(rank, nowMs);
    if (usableSlots === 0) return emptyGrant;
    const capacity = {
      usableSlots,
      neededSlots: pool.neededSlotsUpTo(rank, nowMs),
      expectedWaitMs,
      maxWaitMs: this.targetMs(rank) * maxWaitShare,
    };
    const ttlMs = this.context.settings.timing.creditMs;
    const creditIds = this.issuer.grant(rank, request.want, capacity, ttlMs, nowMs, () => {
      this.lastCreditNumber += 1;
      return `${this.context.settings.hostId}-${this.context.incarnation}-${this.lastCreditNumber}`;
    });
    this.context.metrics.count(
      'credits_granted_total',
      { service: this.task.service, zone: request.fromZone },
      creditIds.length,
    );
    return { creditIds, ttlMs, expectedWaitMs };
  }

  /** Number of slots promised to other zones: credits granted, neither spent nor expired. */
  promisedSlots(): number {
    return this.issuer.countOutstanding(this.context.clock.nowMs());
  }

  /** Spends a credit that this host granted; false if it is unknown, spent or expired. */
  trySpendGranted(creditId: string | undefined): boolean {
    if (creditId === undefined) return false;
    return this.issuer.trySpend(creditId, this.context.clock.nowMs());
  }

  /** Sends a call to another zone if a usable credit is held; returns whether there is one. */
  trySendWithCredit(call: WaitingCall): boolean {
    const nowMs = this.context.clock.nowMs();
    const credit = this.heldCredits.take(
      call.rank,
      nowMs,
      (hostId) => !this.maySendTo(call, hostId),
    );
    if (credit === undefined) return false;
    return this.sendWithCredit(call, credit);
  }

  /**
   * Longest time that a call may wait for a credit; 0 if no credit can be expected.
   *
   * @param leftMs - time left until the target of the call
   */
  creditWaitMs(rank: number, leftMs: number): number {
    const zones = this.links.zonesFor(this.task.service);
    const [nearest] = zones;
    if (nearest === undefined) return 0;
    if (this.demand.isEveryZoneBackingOff(rank, zones, this.context.clock.nowMs())) return 0;
    const farthest = zones.at(-1) ?? nearest;
    const roundTripMs = 2 * farthest.oneWayDelayMs;
    return Math.min(leftMs * maxCreditWaitShare, roundTripMs + creditMarginMs);
  }

  /** Returns the credit of an unused placement to the held credits. */
  returnCredit({ hostId, creditId, useBeforeMs }: HostPlace, rank: number): void {
    const availabilityZone = this.parts.membership.find(hostId)?.availabilityZone;
    if (creditId === undefined || useBeforeMs === undefined) return;
    if (availabilityZone === undefined) return;
    this.heldCredits.add([{ creditId, hostId, availabilityZone, rank, useBeforeMs }]);
  }

  /** Requests credits from other zones while calls wait. */
  tick(): void {
    if (!this.task.hasWaitingCalls) return;
    const nowMs = this.context.clock.nowMs();
    const zones = this.links.zonesFor(this.task.service);
    if (zones.length === 0) return;
    for (const zoneRequest of this.demand.next(this.listPressures(nowMs), zones, nowMs))
      this.requestCredits(zoneRequest);
  }

  private listPressures(nowMs: number): RankPressure[] {
    const { pool, creditQueue } = this.task;
    const ranks = this.parts.document.current()?.document.ranks ?? [];
    return ranks.map((rule, rank) => ({
      rank,
      waitingCalls: pool.waitingCallsOf(rank),
      callsAwaitingCredit: creditQueue.countOfRank(rank),
      expectedWaitMs: pool.expectedWaitMs(rank, nowMs),
      availableCredits: this.heldCredits.count(rank, nowMs),
      maxWaitMs: rule.targetMs * maxWaitShare,
    }));
  }

  private requestCredits(zoneRequest: ZoneCreditRequest): void {
    const hostId = this.parts.poolOwner(zoneRequest.zone.availabilityZone, this.task.service);
    if (hostId === undefined) {
      this.demand.recordAnswer(zoneRequest, 0, 0, this.context.clock.nowMs());
      return;
    }
    const request: CreditRequest = {
      service: this.task.service,
      rank: zoneRequest.rank,
      want: zoneRequest.want,
      fromZone: this.context.settings.availabilityZone,
    };
    const requestedAtMs = this.context.clock.nowMs();
    this.context.metrics.count('credits_asked_total', { service: this.task.service });
    this.parts.peers
      .request(hostId, (client, signal) => client.slots.credits.mutate(request, { signal }))
      .match(
        (grant) => this.handleGrant(zoneRequest, hostId, grant, requestedAtMs),
        () => this.demand.recordAnswer(zoneRequest, 0, 0, this.context.clock.nowMs()),
      )
      .catch((error: unknown) => {
        this.context.log.error('creditDefect', { detail: String(error) });
      });
  }

  private handleGrant(
    zoneRequest: ZoneCreditRequest,
    hostId: string,
    grant: CreditGrant,
    requestedAtMs: number,
  ): void {
    const nowMs = this.context.clock.nowMs();
    this.demand.recordAnswer(zoneRequest, grant.creditIds.length, grant.expectedWaitMs, nowMs);
    const { availabilityZone, oneWayDelayMs } = zoneRequest.zone;
    const useBeforeMs = requestedAtMs + grant.ttlMs - oneWayDelayMs;
    const unused: HeldCredit[] = [];
    for (const creditId of grant.creditIds) {
      const credit = { creditId, hostId, availabilityZone, rank: zoneRequest.rank, useBeforeMs };
      const call = this.task.takeCallForCredit(zoneRequest.rank, (candidate) =>
        this.maySendTo(candidate, hostId),
      );
      if (call === undefined) unused.push(credit);
      else this.sendWithCredit(call, credit);
    }
    this.heldCredits.add(unused);
  }

  /**
   * Sends a call with a credit. If the link has no budget left, the credit is kept and the call is
   * queued in the local pool.
   */
  private sendWithCredit(call: WaitingCall, credit: HeldCredit): boolean {
    const { hostId, creditId } = credit;
    const zone = this.findZone(credit.availabilityZone);
    if (zone !== undefined && !this.links.trySpend(zone.region)) {
      this.heldCredits.add([credit]);
      this.task.pool.enqueue(call, this.context.clock.nowMs());
      return true;
    }
    this.context.metrics.count('calls_sent_to_zone_total', {
      service: this.task.service,
      zone: credit.availabilityZone,
    });
    const { useBeforeMs } = credit;
    call.resolve({ place: 'host', hostId, creditId, useBeforeMs, release: () => undefined });
    return true;
  }

  private maySendTo(call: WaitingCall, hostId: string): boolean {
    if (call.excluded.includes(hostId)) return false;
    if (call.reach !== 'otherRegions') return true;
    return this.parts.membership.find(hostId)?.region !== this.context.settings.region;
  }

  private findZone(availabilityZone: string): RemoteZone | undefined {
    const zones = this.links.zonesFor(this.task.service);
    return zones.find((zone) => zone.availabilityZone === availabilityZone);
  }

  private targetMs(rank: number): number {
    return this.parts.document.current()?.document.ranks[rank]?.targetMs ?? 0;
  }
}
