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

/** Part of its target that a call may wait for a credit. */
const creditWaitShare = 0.5;
const creditMarginMs = 15;
/** Part of its target within which a call must have reached a slot. */
const longestWaitShare = 0.85;
const noGrant: CreditGrant = { creditIds: [], ttlMs: 0, expectedWaitMs: 0 };

/** Credits of one pool: those it grants to other zones, and those it gets from them. */
export class CreditTask {
  private readonly issuer = new CreditIssuer();

  private readonly heldCredits = new HeldCredits();

  private readonly demand = new CreditDemand();

  private grants = 0;

  /**
   * @param task - pool of this host
   * @param context - context of the host
   * @param parts - other hosts
   * @param links - other zones and links to them
   */
  constructor(
    private readonly task: PoolTask,
    private readonly context: HostContext,
    private readonly parts: HostParts,
    private readonly links: RemoteLinks,
  ) {}

  /** Grants credits to another zone. */
  grant(request: CreditRequest): CreditGrant {
    const nowMs = this.context.clock.nowMs();
    const { pool } = this.task;
    const { rank } = request;
    const usableSlots = pool.usableSlots(nowMs);
    const expectedWaitMs = pool.expectedWaitMs(rank, nowMs);
    if (usableSlots === 0) return noGrant;
    const reserve = {
      usableSlots,
      neededSlots: pool.neededSlotsUpTo(rank, nowMs),
      expectedWaitMs,
      maxWaitMs: this.targetMs(rank) * longestWaitShare,
    };
    const ttlMs = this.context.settings.timing.creditMs;
    const creditIds = this.issuer.grant(rank, request.want, reserve, ttlMs, nowMs, () => {
      this.grants += 1;
      return `${this.context.settings.hostId}-${this.context.incarnation}-${this.grants}`;
    });
    this.context.metrics.count(
      'credits_granted_total',
      { service: this.task.service, zone: request.fromZone },
      creditIds.length,
    );
    return { creditIds, ttlMs, expectedWaitMs };
  }

  /** Slots promised to other zones. */
  promisedSlots(): number {
    return this.issuer.countOutstanding(this.context.clock.nowMs());
  }

  /** Spends a credit that this host granted. */
  spendGranted(creditId: string | undefined): boolean {
    if (creditId === undefined) return false;
    return this.issuer.trySpend(creditId, this.context.clock.nowMs());
  }

  /** Sends a call to another zone, if a credit for it is at hand. */
  tryCredit(call: WaitingCall): boolean {
    const nowMs = this.context.clock.nowMs();
    const credit = this.heldCredits.take(call.rank, nowMs, (hostId) => !this.mayGo(call, hostId));
    if (credit === undefined) return false;
    return this.send(call, credit);
  }

  /**
   * Tells how long a call may wait for a credit.
   *
   * @param rank - rank of the call
   * @param leftMs - time left until its target
   */
  creditWaitMs(rank: number, leftMs: number): number {
    const zones = this.links.zonesFor(this.task.service);
    const [nearest] = zones;
    if (nearest === undefined) return 0;
    if (this.demand.isEveryZoneBackingOff(rank, zones, this.context.clock.nowMs())) return 0;
    const farthest = zones.at(-1) ?? nearest;
    const roundTripMs = 2 * farthest.oneWayDelayMs;
    return Math.min(leftMs * creditWaitShare, roundTripMs + creditMarginMs);
  }

  /** Takes back the credit of a place that was not used. */
  giveBack({ hostId, creditId, useBeforeMs }: HostPlace, rank: number): void {
    const availabilityZone = this.parts.membership.find(hostId)?.availabilityZone;
    if (creditId === undefined || useBeforeMs === undefined) return;
    if (availabilityZone === undefined) return;
    this.heldCredits.add([{ creditId, hostId, availabilityZone, rank, useBeforeMs }]);
  }

  /** Asks other zones for credits where the pool is under pressure. */
  tick(): void {
    if (!this.task.isBusy) return;
    const nowMs = this.context.clock.nowMs();
    const zones = this.links.zonesFor(this.task.service);
    if (zones.length === 0) return;
    for (const ask of this.demand.next(this.pressures(nowMs), zones, nowMs)) this.ask(ask);
  }

  private pressures(nowMs: number): RankPressure[] {
    const { pool, creditQueue } = this.task;
    const ranks = this.parts.document.current()?.document.ranks ?? [];
    return ranks.map((rule, rank) => ({
      rank,
      waitingCalls: pool.waitingCallsOf(rank),
      callsAwaitingCredit: creditQueue.countOf(rank),
      expectedWaitMs: pool.expectedWaitMs(rank, nowMs),
      availableCredits: this.heldCredits.count(rank, nowMs),
      maxWaitMs: rule.targetMs * longestWaitShare,
    }));
  }

  private ask(ask: ZoneCreditRequest): void {
    const hostId = this.parts.poolOwner(ask.zone.availabilityZone, this.task.service);
    if (hostId === undefined) {
      this.demand.recordAnswer(ask, 0, 0, this.context.clock.nowMs());
      return;
    }
    const request: CreditRequest = {
      service: this.task.service,
      rank: ask.rank,
      want: ask.want,
      fromZone: this.context.settings.availabilityZone,
    };
    const askedAtMs = this.context.clock.nowMs();
    this.context.metrics.count('credits_asked_total', { service: this.task.service });
    this.parts.peers
      .request(hostId, (client, signal) => client.slots.credits.mutate(request, { signal }))
      .match(
        (grant) => this.receive(ask, hostId, grant, askedAtMs),
        () => this.demand.recordAnswer(ask, 0, 0, this.context.clock.nowMs()),
      )
      .catch((error: unknown) => {
        this.context.log.error('creditDefect', { detail: String(error) });
      });
  }

  private receive(
    ask: ZoneCreditRequest,
    hostId: string,
    grant: CreditGrant,
    askedAtMs: number,
  ): void {
    const nowMs = this.context.clock.nowMs();
    this.demand.recordAnswer(ask, grant.creditIds.length, grant.expectedWaitMs, nowMs);
    const { availabilityZone, oneWayDelayMs } = ask.zone;
    const useBeforeMs = askedAtMs + grant.ttlMs - oneWayDelayMs;
    const unused: HeldCredit[] = [];
    for (const creditId of grant.creditIds) {
      const credit = { creditId, hostId, availabilityZone, rank: ask.rank, useBeforeMs };
      const call = this.task.takeForCredit(ask.rank, (candidate) => this.mayGo(candidate, hostId));
      if (call === undefined) unused.push(credit);
      else this.send(call, credit);
    }
    this.heldCredits.add(unused);
  }

  private send(call: WaitingCall, credit: HeldCredit): boolean {
    const { hostId, creditId } = credit;
    const zone = this.zoneOf(credit.availabilityZone);
    if (zone !== undefined && !this.links.spend(zone.region)) {
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

  private mayGo(call: WaitingCall, hostId: string): boolean {
    if (call.excluded.includes(hostId)) return false;
    if (call.reach !== 'otherRegions') return true;
    return this.parts.membership.find(hostId)?.region !== this.context.settings.region;
  }

  private zoneOf(availabilityZone: string): RemoteZone | undefined {
    const zones = this.links.zonesFor(this.task.service);
    return zones.find((zone) => zone.availabilityZone === availabilityZone);
  }

  private targetMs(rank: number): number {
    return this.parts.document.current()?.document.ranks[rank]?.targetMs ?? 0;
  }
}
