/** Credits that a pool owner granted to other availability zones. A credit allows one call. */

/** Part of the slots that is never promised to other zones. */
const reservedShare = 0.05;
/** Credits granted at once at most. */
const maxCreditsPerGrant = 64;

interface IssuedCredit {
  readonly rank: number;
  readonly expiresAtMs: number;
}

/** What the issuer must know of its pool to grant credits. */
export interface PoolCapacity {
  /** Slots that may be used now. */
  readonly usableSlots: number;
  /** Slots that calls of the rank and of more urgent ones need, waiting calls included. */
  readonly neededSlots: number;
  /** Expected wait of a new call of the rank. */
  readonly expectedWaitMs: number;
  /** Longest wait with which such a call still meets its target. */
  readonly maxWaitMs: number;
}

/** Grants credits against the slots that a pool expects to be idle. */
export class CreditIssuer {
  private readonly issued = new Map<string, IssuedCredit>();

  /**
   * Grants credits.
   *
   * @param rank - rank of the calls
   * @param want - credits asked for
   * @param capacity - state of the pool
   * @param ttlMs - life of the credits
   * @param nowMs - current time
   * @param nextId - makes identities of credits
   * @returns identities of the granted credits, possibly none
   */
  grant(
    rank: number,
    want: number,
    capacity: PoolCapacity,
    ttlMs: number,
    nowMs: number,
    nextId: () => string,
  ): string[] {
    this.removeExpired(nowMs);
    if (capacity.expectedWaitMs > capacity.maxWaitMs) return [];
    const promisedSlots = this.countOutstandingUpTo(rank);
    const grantableSlots = capacity.usableSlots * (1 - reservedShare);
    const spareSlots = Math.floor(grantableSlots - capacity.neededSlots - promisedSlots);
    const granted = Math.max(0, Math.min(want, spareSlots, maxCreditsPerGrant));
    const creditIds: string[] = [];
    for (let count = 0; count < granted; count += 1) {
      const creditId = nextId();
      this.issued.set(creditId, { rank, expiresAtMs: nowMs + ttlMs });
      creditIds.push(creditId);
    }
    return creditIds;
  }

  /**
   * Spends a credit.
   *
   * @param creditId - identity of the credit
   * @param nowMs - current time
   * @returns whether it was granted here, is not spent and has not expired
   */
  trySpend(creditId: string, nowMs: number): boolean {
    const credit = this.issued.get(creditId);
    if (credit === undefined) return false;
    this.issued.delete(creditId);
    return nowMs < credit.expiresAtMs;
  }

  /** Credits that are neither spent nor expired. */
  countOutstanding(nowMs: number): number {
    this.removeExpired(nowMs);
    return this.issued.size;
  }

  private countOutstandingUpTo(rank: number): number {
    let count = 0;
    for (const credit of this.issued.values()) {
      if (credit.rank <= rank) count += 1;
    }
    return count;
  }

  private removeExpired(nowMs: number): void {
    for (const [creditId, credit] of this.issued) {
      if (nowMs >= credit.expiresAtMs) this.issued.delete(creditId);
    }
  }
}
