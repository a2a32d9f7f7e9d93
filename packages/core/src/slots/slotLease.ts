import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';

import type { BackendState, IssuedToken, LeaseTiming } from './slotsTypes.js';

/** Tokens remembered for each backend server; echoes of older ones do not extend the lease. */
const maxIssuedTokens = 8;
/** Suffix of a token with which a host releases its lease. */
const releasedSuffix = '~released';
/** Time after which a new owner pauses dispatch, to count the former owner's running calls. */
const pauseAfterMs = 300;

/** Typical time from a reply to the announcement that starts the lease. */
const typicalLeaseStartMs = 40;

/** Whether the host that issued the token released its lease with it. */
export function isReleaseToken(token: string): boolean {
  return token.endsWith(releasedSuffix);
}

/**
 * Lease of one host on the slots of one backend server, as the host sees it. The host may use the
 * slots from when the backend server echoes its token until `leaseMs` after it sent that token.
 */
export class SlotLease {
  private issued: IssuedToken[] = [];

  private expiresAtMs = Number.NEGATIVE_INFINITY;

  private usableFromMs = Number.NEGATIVE_INFINITY;

  private rampStartMs: number | undefined;

  /** Set by the echo of an unknown token or another host's, until this host takes the lease over. */
  private isTakenOver = false;

  /** Upper bound of the calls of the former owner that still run on the backend server. */
  private formerOwnerInFlight = 0;

  private formerOwnerCallsEndAtMs = Number.NEGATIVE_INFINITY;

  /** Time from which dispatch pauses while calls of the former owner may still run. */
  private pauseFromMs = Number.POSITIVE_INFINITY;

  /** Fewest calls of this host in flight since it issued its latest token. */
  private minOwnInFlight = 0;

  private receivedAtMs = Number.NEGATIVE_INFINITY;

  /** Tokens that were issued before are no measure of the lease. */
  private trustedSinceMs = Number.NEGATIVE_INFINITY;

  private slots = 0;

  private state: BackendState = 'warming';

  constructor(
    private readonly hostId: string,
    private readonly timing: LeaseTiming,
  ) {}

  /**
   * Processes an announcement of the backend server.
   *
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
   * Issues the token of a reply; its echo renews the lease.
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
   * Releases the lease and issues a token that informs the next host of it.
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
   * Records that a call of this host ended on the backend server.
   *
   * @param ownInFlight - calls of this host that still run on it
   */
  recordInFlight(ownInFlight: number): void {
    if (ownInFlight < this.minOwnInFlight) this.minOwnInFlight = ownInFlight;
  }

  /** Gives the lease up until a token that is issued from now on is echoed, after a break of the clock. */
  distrustTimes(nowMs: number): void {
    this.trustedSinceMs = nowMs;
    this.expiresAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Number of slots that this host may use. */
  usableSlots(nowMs: number): number {
    if (!this.isHeld(nowMs) || this.state === 'draining' || this.state === 'leaving') return 0;
    const ramped = this.rampedSlots(nowMs);
    if (this.formerOwnerInFlight === 0 || nowMs >= this.formerOwnerCallsEndAtMs) return ramped;
    if (nowMs >= this.pauseFromMs) return 0;
    return Math.max(0, Math.min(ramped, this.slots - this.formerOwnerInFlight));
  }

  /** Whether the host holds the lease. */
  isHeld(nowMs: number): boolean {
    if (this.isTakenOver || nowMs < this.usableFromMs) return false;
    return nowMs < this.expiresAtMs - this.timing.guardMs;
  }

  /** Whether an early announcement is needed: no lease yet, or the former owner's calls run. */
  needsEarlyRenewal(nowMs: number): boolean {
    return (
      !this.isHeld(nowMs) || (this.formerOwnerInFlight > 0 && nowMs < this.formerOwnerCallsEndAtMs)
    );
  }

  /**
   * Estimates the time until the lease grants slots, while it grants none.
   *
   * @returns milliseconds; infinity if no lease is about to start
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
    if (issued.sentAtMs <= this.trustedSinceMs) return;
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
