import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';

import type { BackendState, IssuedToken, LeaseTiming } from './slotsTypes.js';

/** Tokens remembered for each backend server; older ones no longer extend the lease. */
const maxIssuedTokens = 8;
/** Ending of a token by which a host gives up its lease. */
const releasedSuffix = '~released';
/** Time after which a new owner pauses to learn how many calls of the former owner still run. */
const pauseAfterMs = 300;

/** Usual time from a reply to the announcement that starts the lease. */
const typicalLeaseStartMs = 40;

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

  private isTakenOver = false;

  private formerOwnerInFlight = 0;

  private formerOwnerCallsEndAtMs = Number.NEGATIVE_INFINITY;

  private pauseFromMs = Number.POSITIVE_INFINITY;

  private minOwnInFlight = 0;

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
      this.resetLease(nowMs);
      return;
    }
    if (echo.hostId !== this.hostId) {
      this.handleOtherOwner(echo.token, echo.ageMs, nowMs);
      return;
    }
    const issued = this.issued.find((entry) => entry.token === echo.token);
    if (issued === undefined) {
      this.isTakenOver = true;
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
    this.rememberToken({ token: label, sentAtMs: nowMs });
    this.minOwnInFlight = ownInFlight;
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
    this.rememberToken({ token, sentAtMs: nowMs });
    this.expiresAtMs = Number.NEGATIVE_INFINITY;
    return token;
  }

  /**
   * Notes that a call of this host ended on the backend server.
   *
   * @param ownInFlight - calls of this host that still run there
   */
  recordInFlight(ownInFlight: number): void {
    if (ownInFlight < this.minOwnInFlight) this.minOwnInFlight = ownInFlight;
  }

  /**
   * Tells how many slots this host may keep busy.
   *
   * @param nowMs - current time
   */
  usableSlots(nowMs: number): number {
    if (!this.isHeld(nowMs) || this.state === 'draining' || this.state === 'leaving') return 0;
    const ramped = this.rampedSlots(nowMs);
    if (this.formerOwnerInFlight === 0 || nowMs >= this.formerOwnerCallsEndAtMs) return ramped;
    if (nowMs >= this.pauseFromMs) return 0;
    return Math.max(0, Math.min(ramped, this.slots - this.formerOwnerInFlight));
  }

  /**
   * Tells whether the host holds the lease.
   *
   * @param nowMs - current time
   */
  isHeld(nowMs: number): boolean {
    if (this.isTakenOver || nowMs < this.usableFromMs) return false;
    return nowMs < this.expiresAtMs - this.timing.guardMs;
  }

  /** Tells whether the next announcement should come soon: the lease starts, or others still run. */
  needsEarlyRenewal(nowMs: number): boolean {
    return (
      !this.isHeld(nowMs) || (this.formerOwnerInFlight > 0 && nowMs < this.formerOwnerCallsEndAtMs)
    );
  }

  /**
   * Estimates the time until the lease gives slots, while it gives none.
   *
   * @param nowMs - current time
   * @returns infinity where no lease is about to start
   */
  expectedLeaseWaitMs(nowMs: number): number {
    const isSilent = nowMs - this.receivedAtMs > this.timing.leaseMs;
    const hasNoRenewalToken = this.issued.every((entry) => isReleaseToken(entry.token));
    const isShuttingDown = this.state === 'draining' || this.state === 'leaving';
    if (isSilent || hasNoRenewalToken || isShuttingDown) return Number.POSITIVE_INFINITY;
    return Math.max(0, this.usableFromMs - nowMs) + typicalLeaseStartMs;
  }

  /** State that the backend server last announced. */
  get announcedState(): BackendState {
    return this.state;
  }

  private resetLease(nowMs: number): void {
    this.issued = [];
    this.expiresAtMs = Number.NEGATIVE_INFINITY;
    this.rampStartMs = nowMs;
    this.formerOwnerInFlight = 0;
    this.isTakenOver = false;
  }

  private handleOtherOwner(token: string, ageMs: number, nowMs: number): void {
    this.isTakenOver = true;
    this.expiresAtMs = Number.NEGATIVE_INFINITY;
    this.issued = [];
    if (isReleaseToken(token)) return;
    const formerEndMs = nowMs + Math.max(0, this.timing.leaseMs - ageMs);
    this.usableFromMs = Math.max(this.usableFromMs, formerEndMs);
  }

  private extend(
    issued: IssuedToken,
    reportedInFlight: number | undefined,
    nowMs: number,
    ownInFlight: number,
  ): void {
    this.expiresAtMs = Math.max(this.expiresAtMs, issued.sentAtMs + this.timing.leaseMs);
    if (this.state === 'warming' && this.rampStartMs === undefined) this.rampStartMs = nowMs;
    if (this.isTakenOver) {
      if (issued.sentAtMs < this.usableFromMs) return;
      this.isTakenOver = false;
      this.formerOwnerInFlight = Math.max(
        0,
        (reportedInFlight ?? this.slots) - this.minOwnInFlight,
      );
      this.formerOwnerCallsEndAtMs = nowMs + this.timing.formerOwnerCallMs;
      this.pauseFromMs = nowMs + pauseAfterMs;
      return;
    }
    this.lowerFormerOwnerInFlight(issued, reportedInFlight, nowMs, ownInFlight);
  }

  private lowerFormerOwnerInFlight(
    issued: IssuedToken,
    reportedInFlight: number | undefined,
    nowMs: number,
    ownInFlight: number,
  ): void {
    if (this.formerOwnerInFlight === 0 || reportedInFlight === undefined) return;
    const isLatest = issued === this.issued.at(-1);
    const minOwnCalls = isLatest ? this.minOwnInFlight : 0;
    this.formerOwnerInFlight = Math.min(
      this.formerOwnerInFlight,
      Math.max(0, reportedInFlight - minOwnCalls),
    );
    if (nowMs >= this.pauseFromMs && ownInFlight === 0) this.pauseFromMs = nowMs + pauseAfterMs;
  }

  private rampedSlots(nowMs: number): number {
    const maxSlots = this.state === 'warming' ? Math.ceil(this.slots / 2) : this.slots;
    if (this.rampStartMs === undefined || this.timing.slowStartMs === 0) return maxSlots;
    const progress = (nowMs - this.rampStartMs) / this.timing.slowStartMs;
    return Math.max(1, Math.min(maxSlots, Math.floor(this.slots * progress)));
  }

  private rememberToken(issued: IssuedToken): void {
    this.issued.push(issued);
    if (this.issued.length > maxIssuedTokens) this.issued.shift();
  }
}
