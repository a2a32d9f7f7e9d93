/** Credits that a pool owner grants to other availability zones. A credit admits one call. */

/** Share of the slots that is never promised to other zones. */
const reservedShare = 0.05;
const maxCreditsPerGrant = 64;

interface IssuedCredit {
  readonly rank: number;
  readonly expiresAtMs: number;
}

/** State of a pool that limits the credits it can grant. */
export interface PoolCapacity {
  /** Slots that may be used now. */
  readonly usableSlots: number;
  /** Slots that the rank and the more urgent ranks need, waiting calls included. */
  readonly neededSlots: number;
  /** Expected wait of a new call of the rank. */
  readonly expectedWaitMs: number;
  /** Longest wait with which a new call of the rank still meets its target. */
  readonly maxWaitMs: number;
}

/** Grants credits against the slots that a pool expects to be idle. */
export class CreditIssuer {
  private readonly issued = new Map<string, IssuedCredit>();

  /**
   * Grants credits as far as spare slots allow; none if a call would wait too long for its target.
   *
   * @param want - number of credits requested
   * @param ttlMs - lifetime of the credits
   * @param nextId - generates the id of a credit
   * @returns ids of the granted credits, possibly none
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
   * @returns whether the credit was granted here, is unspent and has not expired
   */
  trySpend(creditId: string, nowMs: number): boolean {
    const credit = this.issued.get(creditId);
    if (credit === undefined) return false;
    this.issued.delete(creditId);
    return nowMs < credit.expiresAtMs;
  }

  /** Number of credits that are neither spent nor expired. */
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
