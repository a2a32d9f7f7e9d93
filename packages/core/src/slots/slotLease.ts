import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';

import type { BackendState, IssuedToken, LeaseTiming } from './slotsTypes.js';

/** Tokens remembered for each backend server; older ones no longer extend the lease. */
const maxIssuedTokens = 8;
/** Ending of a token by which a host gives up its lease. */
const releasedSuffix = '~released';
/** Time after which a new owner pauses to learn how many calls of the former owner still run. */
const settleAfterMs = 300;

/** Usual time from a reply to the announcement that starts the lease. */
const usualStartMs = 40;

/** Tells whether the host that issued a token gave up its lease with it. */
export function isReleaseToken(token: string): boolean {
  return token.endsWith(releasedSuffix);
}

/**
 * The lease of one host on the slots of one backend server, as the host sees it. The host may use
 * the slots from the echo of its token until `leaseMs` after it sent that token.
 */
export class SlotLease {
  private issued: IssuedToken[] = [];

  private expiresAtMs = Number.NEGATIVE_INFINITY;

  private usableFromMs = Number.NEGATIVE_INFINITY;

  private rampStartMs: number | undefined;

  private takenOver = false;

  private foreignInFlight = 0;

  private foreignUntilMs = Number.NEGATIVE_INFINITY;

  private settleFromMs = Number.POSITIVE_INFINITY;

  private lowestInFlight = 0;

  private receivedAtMs = Number.NEGATIVE_INFINITY;

  private slots = 0;

  private state: BackendState = 'warming';

  /**
   * @param hostId - this host
   * @param timing - times of the lease
   */
  constructor(
    private readonly hostId: string,
    private readonly timing: LeaseTiming,
  ) {}

  /**
   * Takes in an announcement.
   *
   * @param announcement - what the backend server says
   * @param nowMs - time of arrival
   * @param ownInFlight - calls of this host that run on the backend server
   */
  receive(announcement: Announcement, nowMs: number, ownInFlight: number): void {
    this.slots = Math.min(announcement.slots, announcement.connectionLimit);
    this.state = announcement.state;
    this.receivedAtMs = nowMs;
    const echo = announcement.lease;
    if (echo === undefined) {
      this.restart(nowMs);
      return;
    }
    if (echo.hostId !== this.hostId) {
      this.takeOver(echo.token, echo.ageMs, nowMs);
      return;
    }
    const issued = this.issued.find((entry) => entry.token === echo.token);
    if (issued === undefined) {
      this.takenOver = true;
      return;
    }
    if (isReleaseToken(issued.token)) return;
    this.extend(issued, announcement.inFlight, nowMs, ownInFlight);
  }

  /**
   * Makes the token of a reply that renews the lease.
   *
   * @param label - unique text for the token
   * @param nowMs - time at which the reply is sent
   * @param ownInFlight - calls of this host that run on the backend server
   */
  issue(label: string, nowMs: number, ownInFlight: number): string {
    this.remember({ token: label, sentAtMs: nowMs });
    this.lowestInFlight = ownInFlight;
    return label;
  }

  /**
   * Gives up the lease, and makes the token that says so to the next host.
   *
   * @param label - unique text for the token
   * @param nowMs - time at which the reply is sent
   */
  release(label: string, nowMs: number): string {
    const token = `${label}${releasedSuffix}`;
    this.issued = [];
    this.remember({ token, sentAtMs: nowMs });
    this.expiresAtMs = Number.NEGATIVE_INFINITY;
    return token;
  }

  /**
   * Notes that a call of this host ended on the backend server.
   *
   * @param ownInFlight - calls of this host that still run there
   */
  noteInFlight(ownInFlight: number): void {
    if (ownInFlight < this.lowestInFlight) this.lowestInFlight = ownInFlight;
  }

  /**
   * Tells how many slots this host may keep busy.
   *
   * @param nowMs - current time
   */
  usableSlots(nowMs: number): number {
    if (!this.isHeld(nowMs) || this.state === 'draining' || this.state === 'leaving') return 0;
    const ramped = this.rampedSlots(nowMs);
    if (this.foreignInFlight === 0 || nowMs >= this.foreignUntilMs) return ramped;
    if (nowMs >= this.settleFromMs) return 0;
    return Math.max(0, Math.min(ramped, this.slots - this.foreignInFlight));
  }

  /**
   * Tells whether the host holds the lease.
   *
   * @param nowMs - current time
   */
  isHeld(nowMs: number): boolean {
    if (this.takenOver || nowMs < this.usableFromMs) return false;
    return nowMs < this.expiresAtMs - this.timing.guardMs;
  }

  /** Tells whether the next announcement should come soon: the lease starts, or others still run. */
  needsEarlyRenewal(nowMs: number): boolean {
    return !this.isHeld(nowMs) || (this.foreignInFlight > 0 && nowMs < this.foreignUntilMs);
  }

  /**
   * Estimates the time until the lease gives slots, while it gives none.
   *
   * @param nowMs - current time
   * @returns infinity where no lease is about to start
   */
  expectedStartMs(nowMs: number): number {
    const isSilent = nowMs - this.receivedAtMs > this.timing.leaseMs;
    const isReleased = this.issued.every((entry) => isReleaseToken(entry.token));
    const isGoing = this.state === 'draining' || this.state === 'leaving';
    if (isSilent || isReleased || isGoing) return Number.POSITIVE_INFINITY;
    return Math.max(0, this.usableFromMs - nowMs) + usualStartMs;
  }

  /** State that the backend server last announced. */
  get announcedState(): BackendState {
    return this.state;
  }

  private restart(nowMs: number): void {
    this.issued = [];
    this.expiresAtMs = Number.NEGATIVE_INFINITY;
    this.rampStartMs = nowMs;
    this.foreignInFlight = 0;
    this.takenOver = false;
  }

  private takeOver(token: string, ageMs: number, nowMs: number): void {
    this.takenOver = true;
    this.expiresAtMs = Number.NEGATIVE_INFINITY;
    this.issued = [];
    if (isReleaseToken(token)) return;
    const formerEndMs = nowMs + Math.max(0, this.timing.leaseMs - ageMs);
    this.usableFromMs = Math.max(this.usableFromMs, formerEndMs);
  }

  private extend(
    issued: IssuedToken,
    reported: number | undefined,
    nowMs: number,
    ownInFlight: number,
  ): void {
    this.expiresAtMs = Math.max(this.expiresAtMs, issued.sentAtMs + this.timing.leaseMs);
    if (this.state === 'warming' && this.rampStartMs === undefined) this.rampStartMs = nowMs;
    if (this.takenOver) {
      if (issued.sentAtMs < this.usableFromMs) return;
      this.takenOver = false;
      this.foreignInFlight = Math.max(0, (reported ?? this.slots) - this.lowestInFlight);
      this.foreignUntilMs = nowMs + this.timing.foreignCallMs;
      this.settleFromMs = nowMs + settleAfterMs;
      return;
    }
    this.lowerForeign(issued, reported, nowMs, ownInFlight);
  }

  private lowerForeign(
    issued: IssuedToken,
    reported: number | undefined,
    nowMs: number,
    ownInFlight: number,
  ): void {
    if (this.foreignInFlight === 0 || reported === undefined) return;
    const isLatest = issued === this.issued.at(-1);
    const ownAtLeast = isLatest ? this.lowestInFlight : 0;
    this.foreignInFlight = Math.min(this.foreignInFlight, Math.max(0, reported - ownAtLeast));
    if (nowMs >= this.settleFromMs && ownInFlight === 0) this.settleFromMs = nowMs + settleAfterMs;
  }

  private rampedSlots(nowMs: number): number {
    const ceiling = this.state === 'warming' ? Math.ceil(this.slots / 2) : this.slots;
    if (this.rampStartMs === undefined || this.timing.slowStartMs === 0) return ceiling;
    const progress = (nowMs - this.rampStartMs) / this.timing.slowStartMs;
    return Math.max(1, Math.min(ceiling, Math.floor(this.slots * progress)));
  }

  private remember(issued: IssuedToken): void {
    this.issued.push(issued);
    if (this.issued.length > maxIssuedTokens) this.issued.shift();
  }
}
