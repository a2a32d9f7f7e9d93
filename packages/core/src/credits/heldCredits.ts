/** A credit that another availability zone granted to this one. */
export interface HeldCredit {
  readonly creditId: string;
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly rank: number;
  /** Time after which the credit could expire before the call arrives. */
  readonly useBeforeMs: number;
}

/** Credits held by a pool owner, by rank. */
export class HeldCredits {
  private held: HeldCredit[] = [];

  /** Adds credits. */
  add(credits: readonly HeldCredit[]): void {
    this.held.push(...credits);
  }

  /**
   * Takes a credit for a call of a rank; one for a less urgent rank does not serve.
   *
   * @param rank - rank of the call
   * @param nowMs - current time
   * @param isExcluded - tells whether the call must not go to a host
   */
  take(
    rank: number,
    nowMs: number,
    isExcluded: (hostId: string) => boolean,
  ): HeldCredit | undefined {
    this.removeExpired(nowMs);
    for (const [index, credit] of this.held.entries()) {
      if (credit.rank !== rank || isExcluded(credit.hostId)) continue;
      this.held.splice(index, 1);
      return credit;
    }
    return undefined;
  }

  /** Credits held for a rank. */
  count(rank: number, nowMs: number): number {
    this.removeExpired(nowMs);
    let count = 0;
    for (const credit of this.held) {
      if (credit.rank === rank) count += 1;
    }
    return count;
  }

  private removeExpired(nowMs: number): void {
    if (this.held.length === 0) return;
    this.held = this.held.filter((credit) => nowMs < credit.useBeforeMs);
  }
}
